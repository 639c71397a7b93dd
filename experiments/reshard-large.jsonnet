// Resharding at the target size of the project: 1,000 backends, 100,000 shards, 20 brokers, one change of the shard
// map per second on average. External variables: seconds (600 for the figures in the docs) and arm (follow, sighup,
// naive).
local none = { max: 0 };
{
  name: 'reshard-large',
  seconds: std.parseJson(std.extVar('seconds')),
  arm: std.extVar('arm'),
  nodes: 1000,
  brokers: 20,
  slices: 100000,
  districts: 8,
  reach: 3,
  rate: 400,
  retries: 2,
  classes: [
    { name: 'quote', effect: 'read_like', share: 0.55, parts: [3, 5], work: [12, 16], aim: 300, deadline: 600, worth: 1, late_worth: 0.3 },
    { name: 'bind', effect: 'non_idempotent', share: 0.22, parts: [1, 1], work: [12, 16], aim: 300, deadline: 1000, worth: 2, late_worth: 0.1 },
    { name: 'compare', effect: 'read_like', share: 0.23, parts: [8, 12], work: [14, 20], aim: 300, deadline: 1000, worth: 3, late_worth: 0.3, floor: 0.7, partial_worth: 0.9 },
  ],
  changes: { every: 1000, copy: [200, 1500], handover: [100, 800], abort: 0.2, split: 2, merge: 1, move: 1 },
  news: { list: [500, 3000], node: [2, 150], catalogue: [2, 150], lost: 0.02, twice: 0.1, spoilt: 0.01 },
  troubles: { every: 2000, 'for': [2000, 6000], kinds: ['hang', 'slow', 'fail', 'down', 'drain', 'broker'] },
  expect: {
    lost: none, bind_twice: none, overlaps: none, falsely_whole: none, short: none, wrong_value: none,
    counted_twice: none, drain_late: none, cold_fallen: none,
  },
}
