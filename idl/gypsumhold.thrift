/**
 * Messages between the processes of gypsumhold.
 *
 * Durations and instants are microseconds. Instants are read from the
 * CLOCK_BOOTTIME of the instance that the message is about.
 */
namespace py wire

enum WorkForm { REQUEST = 1, TASK = 2 }

enum WorkClass { URGENT = 1, STANDARD = 2, BATCH = 3 }

enum Outcome { COMPLETED = 1, NOT_RUN = 2, INDETERMINATE = 3, IN_PROGRESS = 4 }

enum Reason {
  NONE = 1
  BAD_REQUEST = 2
  UNKNOWN_ORGANISATION = 3
  UNKNOWN_KIND = 4
  BODY_TOO_LARGE = 5
  KEY_REQUIRED = 6
  KEY_REUSED = 7
  NO_CONFIGURATION = 8
  NO_UPSTREAM = 9
  OVERLOADED = 10
  DRAINING = 11
  EXPIRED = 12
  STALE_INCARNATION = 13
  TOMBSTONED = 14
  DUPLICATE = 15
  CANCELLED = 16
  TABLE_UNAVAILABLE = 17
  UPSTREAM_FAILED = 18
  UPSTREAM_TIMEOUT = 19
  AGENT_LOST = 20
  INCARNATION_GONE = 21
  STOPPING = 22
}

enum MemberState { JOINING = 1, SERVING = 2, DRAINING = 3 }

enum CancelAnswer {
  NEVER_SEEN = 1
  REMOVED = 2
  RUNNING = 3
  FINISHED = 4
  STALE_INCARNATION = 5
  FORGOTTEN = 6
}

enum ExecutionState {
  STARTING = 1
  RUNNING = 2
  THROTTLED = 3
  CHECKPOINTING = 4
  STOPPING = 5
  SUCCEEDED = 6
  FAILED = 7
  EVICTED = 8
  STOPPED = 9
  REFUSED = 10
  UNKNOWN = 11
}

enum SubmissionResult {
  ACCEPTED = 1
  REFUSED = 2
  CONFLICT = 3
  NOT_FOUND = 4
  UNAVAILABLE = 5
  UNKNOWN = 6
}

struct Resources {
  1: required i64 cpu_millis
  2: required i64 memory_mb
  3: required i64 accelerators
}

struct Address {
  1: required string host
  2: required i32 port
}

struct Header {
  1: required string name
  2: required string value
}

struct Payload {
  1: required string method
  2: required string target
  3: required list<Header> headers
  4: required binary body
}

struct Answer {
  1: required i32 status
  2: required list<Header> headers
  3: required binary body
}

struct Dispatch {
  1: required string request_id
  2: required i64 attempt
  3: required i64 incarnation
  4: required string organisation
  5: required string kind
  6: required i64 remaining_us
  7: required bool keep_answer
  8: required Payload payload
  9: required i64 valid_until_us
}

struct DispatchReply {
  1: required Outcome outcome
  2: required Reason reason
  3: optional Answer answer
  4: required i64 retry_after_us
}

struct Cancel {
  1: required string request_id
  2: required i64 attempt
  3: required i64 incarnation
  4: required bool remove_queued
  5: required i64 valid_until_us
}

struct CancelReply {
  1: required CancelAnswer answer
  2: optional DispatchReply reply
}

struct TaskStart {
  1: required string task_id
  2: required i64 epoch
  3: required i64 partition
  4: required i64 incarnation
  5: required string organisation
  6: required string kind
  7: required WorkClass work_class
  8: required Resources declared
  9: required i64 expires_us
  10: required string payload
  11: optional string checkpoint
}

struct SyncItem {
  1: required string task_id
  2: required i64 epoch
  3: required i64 expires_us
  4: required bool stop
}

struct TaskSync {
  1: required i64 partition
  2: required i64 holder_epoch
  3: required i64 incarnation
  4: required list<SyncItem> items
  5: required list<SyncItem> acknowledged
}

struct TaskReport {
  1: required string task_id
  2: required i64 epoch
  3: required ExecutionState state
  4: required string result
  5: optional string checkpoint
}

struct SyncReply {
  1: required bool accepted
  2: required list<TaskReport> reports
}

struct Template {
  1: required string name
  2: required WorkForm work
  3: required WorkClass work_class
  4: required bool repeatable
  5: required i64 timeout_us
  6: required Resources declared
  7: required i64 lease_us
  8: required i64 max_failures
}

struct KindParameters {
  1: required string kind
  2: optional WorkClass work_class
  3: optional bool repeatable
  4: optional i64 timeout_us
}

struct Organisation {
  1: required string name
  2: required i64 weight
  3: required Resources quota
  4: required i64 queue_limit
  5: required list<KindParameters> kinds
}

struct Configuration {
  1: required i64 version
  2: required list<Template> templates
  3: required list<Organisation> organisations
}

/** One accepted change; the audit fields stay in the table. */
struct Change {
  1: required i64 version
  2: required list<Template> templates
  3: required list<Organisation> organisations
  4: required list<string> deleted_templates
  5: required list<string> deleted_organisations
}

struct Submission {
  1: required string organisation
  2: required string kind
  3: required string key
  4: required string payload
  5: optional Resources declared
}

struct TaskCancel {
  1: required string organisation
  2: required string task_id
}

struct SubmissionReply {
  1: required SubmissionResult result
  2: optional string task_id
  3: required string detail
}

struct Announcement {
  1: required string instance
  2: required i64 incarnation
  3: required i64 sequence
  4: required MemberState state
  5: required Address address
  6: required string data_centre
  7: required string region
  8: required string rack
  9: required i64 clock_us
  10: required list<string> kinds
  11: required i64 free_slots
  12: required i64 queued
  13: required Resources capacity
  14: required Resources free
  15: required i64 config_version
  16: required i64 reports
  17: required bool throttled
}

/** Served by the agent beside each upstream, for entries. */
service Agent {
  DispatchReply dispatch(1: Dispatch dispatch)
  CancelReply cancel(1: Cancel cancel)
  /** One flag for each start, in order: whether it was accepted. */
  list<bool> start_tasks(1: list<TaskStart> starts)
  SyncReply sync_tasks(1: TaskSync sync)
  /** Returns the version in force afterwards. */
  i64 push_config(1: Configuration configuration)
  /** Applies the changes that follow its version without a gap. */
  i64 push_changes(1: list<Change> changes)
  Configuration read_config()
  bool drain()
}

/** Served by an entry, for the other entries. */
service Entry {
  SubmissionReply submit(1: Submission submission)
  SubmissionReply cancel_task(1: TaskCancel cancel)
}

/** Served by entries and agents for jobs; the bodies are MessagePack. */
service Jobs {
  binary exchange(1: binary message)
}
