// Runs one policy, or compares all of them, and prints a table and a JSON line.
import {parseArgs} from 'node:util';

import {comparePolicies} from './comparePolicies.js';
import {isFaultName} from './fault.js';
import {formatTable} from './formatTable.js';
import {isPolicyName} from './policyName.js';
import {findProfile} from './profiles.js';
import {runPolicy} from './runPolicy.js';

const DEFAULT_LOAD = '2';
const USAGE_EXIT_CODE = 2;

const {values} = parseArgs({
  options: {
    profile: {type: 'string', default: 'timavordur'},
    load: {type: 'string', default: DEFAULT_LOAD},
    seed: {type: 'string', default: '1'},
    policy: {type: 'string'},
    fault: {type: 'string', default: 'none'},
  },
});
const profile = findProfile(values.profile);
const {fault, policy} = values;
const load = Number(values.load);
const seed = Number(values.seed);
if (
  profile === undefined ||
  !isFaultName(fault) ||
  !(load > 0) ||
  !Number.isInteger(seed) ||
  (policy !== undefined && !isPolicyName(policy))
) {
  console.error(
    'usage: bench:policy -- --profile timavordur|accuterug --load F --seed N [--policy NAME] [--fault NAME]',
  );
  process.exit(USAGE_EXIT_CODE);
}
const options = {profile, load, seed, fault};
const base = {bench: 'policy', seed, profile: profile.id, load, fault};
if (policy !== undefined) {
  const summary = runPolicy({...options, policy});
  console.log(formatTable([{policy, summary}]));
  console.log(
    JSON.stringify({...base, metrics: {}, policies: [{policy, summary}]}),
  );
} else {
  const comparison = comparePolicies(options);
  console.log(formatTable(comparison.policies));
  console.log(JSON.stringify({...base, ...comparison}));
}
