// A small fleet under light load whose shard map changes every few seconds: the experiment of `emulator up`.
{
  name: 'up',
  seconds: 7200,
  nodes: 5,
  brokers: 2,
  slices: 16,
  districts: 16,
  rate: 30,
  retries: 2,
  classes: [
    { name: 'quote', effect: 'read_like', share: 0.55, parts: [3, 5], work: [12, 16], aim: 300, deadline: 600, worth: 1, late_worth: 0.3 },
    { name: 'bind', effect: 'non_idempotent', share: 0.22, parts: [1, 1], work: [12, 16], aim: 300, deadline: 1000, worth: 2, late_worth: 0.1 },
    { name: 'compare', effect: 'read_like', share: 0.23, parts: [6, 9], work: [14, 20], aim: 300, deadline: 1000, worth: 3, late_worth: 0.3, floor: 0.7, partial_worth: 0.9 },
  ],
  changes: { every: 4000, copy: [500, 2000], handover: [200, 1000], abort: 0.1 },
  troubles: { every: 15000, 'for': [2000, 5000], kinds: ['hang', 'slow', 'drain'] },
}
