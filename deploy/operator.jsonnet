// The operator's file: what an installation switches on beside the platform's settings. It is read only where
// --operator or TERNSTAGE_OPERATOR names it, so the platform runs without. api/operator.schema.json has the form.
local host = '127.0.0.1';
{
  flight: {
    enabled: false,  // the Arrow Flight front listens
    listen: host + ':8815',
    nodes: false,  // rate nodes are asked over Flight in place of frames
    streams: 128,  // calls of one client connection at a time
    conns: 128,  // client connections at a time
  },
  // Slices move, as the catalogue at this address says; see docs/operate/moving-shards.md. Without this section the
  // layout is that of the settings.
  // slices: { catalogue: host + ':8600', wait_ms: 20000 },
}
