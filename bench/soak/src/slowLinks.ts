import type {SoakDeployment} from './deployment.js';
import type {LinkFault} from './linkFaults.js';
import type {Recorder} from './recorder.js';

/** Slows the links between a VM and all others; returns what ends that. */
export function slowLinks(
  {vms, faults}: SoakDeployment,
  recorder: Recorder,
  ip: string,
): () => void {
  const slowed = vms
    .filter(({vm}) => vm.ip !== ip)
    .map(({vm}): LinkFault => ({from: ip, to: vm.ip, kind: 'late'}));
  for (const fault of slowed) {
    recorder.record({kind: 'linkFaulted', ...toSpan(fault)});
    faults.addFault(fault);
  }
  return () => {
    for (const fault of slowed) {
      faults.removeFault(fault);
      recorder.record({kind: 'linkRestored', ...toSpan(fault)});
    }
  };
}

function toSpan({from, to, kind}: LinkFault) {
  return {from, to, fault: kind};
}
