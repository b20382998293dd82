"""Input and output: clocks, codecs, servers, clients and thread pools."""
