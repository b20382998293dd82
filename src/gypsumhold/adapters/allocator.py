"""Options of the C allocator of this process."""

import ctypes

_MMAP_THRESHOLD = -3
"""Number of the option M_MMAP_THRESHOLD of glibc's `mallopt`."""

LARGE_BLOCK_BYTES = 128 * 1024
"""Size from which a block of memory returns to the system once it is freed.

By default, glibc raises this size to that of the largest freed block, and then
keeps freed bodies of up to 32 MB in an arena for each of many threads: with 24
unread answers of 1 MB, an entry grew by 64 to 77 MB.
"""


def return_large_blocks() -> bool:
    """Makes freed blocks of LARGE_BLOCK_BYTES return to the system.

    Returns:
        Whether the allocator has this option; only that of glibc does.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return bool(mallopt and mallopt(_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
