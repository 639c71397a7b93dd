// Shards are split, merged and moved under load, while backends hang, fail, slow down, drain and restart, and brokers
// are killed. External variables: every (mean time between changes of the shard map in ms, 0 for none), arm (follow,
// sighup, naive) and seconds.
local every = std.parseJson(std.extVar('every'));
local seconds = std.parseJson(std.extVar('seconds'));
local arm = std.extVar('arm');
local none = { max: 0 };
{
  name: 'reshard',
  seconds: seconds,
  arm: arm,
  sighup_ms: 10000,
  nodes: 6,
  brokers: 2,
  slices: 24,
  districts: 16,
  reach: 3,
  rate: 60,
  retries: 2,
  classes: [
    { name: 'quote', effect: 'read_like', share: 0.55, parts: [3, 5], work: [12, 16], aim: 300, deadline: 600, worth: 1, late_worth: 0.3 },
    { name: 'bind', effect: 'non_idempotent', share: 0.22, parts: [1, 1], work: [12, 16], aim: 300, deadline: 1000, worth: 2, late_worth: 0.1 },
    { name: 'compare', effect: 'read_like', share: 0.23, parts: [8, 12], work: [14, 20], aim: 300, deadline: 1000, worth: 3, late_worth: 0.3, floor: 0.7, partial_worth: 0.9 },
  ],
  changes: { every: every, copy: [200, 1500], handover: [100, 800], abort: 0.2, split: 1, merge: 1, move: 2 },
  news: { list: [500, 3000], node: [2, 150], catalogue: [2, 150], lost: 0.02, twice: 0.1, spoilt: 0.03,
          outages: [{ at: 20000, 'for': 8000 }] },
  troubles: { every: 4000, 'for': [2000, 6000], kinds: ['hang', 'slow', 'fail', 'down', 'drain', 'broker'] },
  expect: if arm == 'follow' then {
    lost: none, bind_twice: none, overlaps: none, falsely_whole: none, short: none, wrong_value: none,
    counted_twice: none, drain_late: none, cold_fallen: none, worth: { min: 0.8 },
  } else {},
}
