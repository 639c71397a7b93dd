// A large fleet with hundreds of brokers that share no state and get little traffic each. External variables:
//   seconds, rate, brokers, nodes: duration and size;
//   join, herd, zone, roll: 1 for an event, 0 without it: six in ten backends are replaced within 7 s, seven in ten
//     brokers are killed at once, one of three zones is cut off, half of the backends are replaced in steps;
//   hot: request rate of the first broker over the mean rate;
//   idle: share of the brokers that get no requests;
//   told: number of brokers in the brokers' settings, 0 for the true one;
//   apart, jump: largest offset of the brokers' clocks, and offset of the first broker's clock, in ms.
local on(name) = std.extVar(name) != '0';
local number(name) = std.parseJson(std.extVar(name));
local brokers = number('brokers');
local nodes = number('nodes');
local none = { max: 0 };
// Three neighbouring backends hold the same shard. At least one of them stays, as in a rolling release. The sort
// spreads the replaced backends over the fleet.
local mixed(of) = std.sort(of, function(n) (n * 67) % nodes);
local six = mixed([n for n in std.range(0, nodes - 1) if std.member([0, 1, 3], n % 5)]);
local half = mixed([n for n in std.range(0, nodes - 1) if n % 2 == 0]);
local some(of, share) = std.range(0, std.floor(of * share) - 1);
{
  name: 'mass',
  seconds: number('seconds'),
  nodes: nodes,
  brokers: brokers,
  zones: 3,
  slices: nodes,
  districts: 8,
  reach: 3,
  rate: number('rate'),
  tries: 4,
  retries: 2,
  [if number('told') > 0 then 'told_brokers']: number('told'),
  traffic: { hot: number('hot'), idle: number('idle') },
  clocks: { apart: number('apart'), jump: number('jump') },
  classes: [
    { name: 'quote', effect: 'read_like', share: 0.7, parts: [std.min(18, nodes), std.min(18, nodes)], work: [18, 28], aim: 400, deadline: 1000, worth: 1, late_worth: 0.2 },
    { name: 'bind', effect: 'non_idempotent', share: 0.12, parts: [1, 1], work: [18, 28], aim: 400, deadline: 1000, worth: 1, late_worth: 0.2 },
    { name: 'compare', effect: 'read_like', share: 0.18, parts: [std.min(60, nodes), std.min(60, nodes)], work: [18, 28], aim: 400, deadline: 1000, worth: 1, late_worth: 0.2, floor: 0.8, partial_worth: 0.6 },
  ],
  node: { cores: 2, room: 32, cold_from: 0.21, warm: 18000, fall_multiple: 2.5, fall_for: 1500 },
  changes: { every: 0 },
  news: { list: [500, 1500], node: [2, 150], catalogue: [2, 150] },
  script: (if on('join') then [{ at: 4000 + 7000 * i / std.length(six), 'for': 2000, kind: 'drain', on: six[i] } for i in std.range(0, std.length(six) - 1)] else [])
          + (if on('roll') then [{ at: 3000 + 4000 * std.floor(i / (0.1 * nodes)), 'for': 2000, kind: 'drain', on: half[i] } for i in std.range(0, std.length(half) - 1)] else [])
          + (if on('herd') then [{ at: 6000, 'for': 1500, kind: 'broker', on: i } for i in some(brokers, 0.7)] else [])
          + (if on('zone') then [{ at: 6000, 'for': 5000, kind: 'zone_cut', on: 1 }] else []),
  expect: {
    lost: none, bind_twice: none, overlaps: none, falsely_whole: none, short: none, wrong_value: none,
    counted_twice: none, drain_late: none, cold_fallen: none,
  },
}
