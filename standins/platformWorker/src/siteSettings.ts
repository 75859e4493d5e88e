/** Environment variable that names the settings file of the platform program. */
export const SETTINGS_FILE_VARIABLE = 'GENTIANSHUNT_CONFIG';

/** Ports on which every VM of a site listens. */
export interface SitePorts {
  readonly front: number;
  readonly ready: number;
  readonly control: number;
  readonly directory: number;
  /** First and last port for traffic between VMs. */
  readonly internal: readonly [number, number];
}

/** Values of the rules that the settings name. */
export interface SiteBounds {
  readonly contactMs: number;
  readonly ackMs: number;
  readonly drainMs: number;
  readonly graceMs: number;
  readonly lossSlackMs: number;
  readonly configApplyMs: number;
  readonly rollbackSlackMs: number;
  readonly maxSkewMs: number;
  readonly revokeMs: number;
}

/** What the settings file of one VM says. */
export interface SiteVm {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly seeds: readonly string[];
  readonly ports: SitePorts;
  /** Address to listen at for other VMs, if they dial another one. */
  readonly peerListen: string | null;
  /** `null` on a VM without a disk. */
  readonly dataFolder: string | null;
  /** Size of the disk, if there is one. */
  readonly diskMb: number;
  readonly memoryMb: number;
  readonly bounds: SiteBounds;
}

const MS_PER_SECOND = 1_000;

/** Formats the settings file of a VM. */
export function formatSettings(vm: SiteVm, isFirstStart: boolean): string {
  const {ip, ports, bounds} = vm;
  const seeds = vm.seeds.map(seed => `"${seed}:${ports.control}"`);
  return `node_name = "${vm.name}"
role = "entry"
machine_class = "front"
serves = ["front","control","directory"]
ip = "${ip}"
zone = "${vm.zone}"
region = "local"
internal_ports = [${ports.internal.join(',')}]
seeds = [${seeds.join(',')}]
bootstrap = ${isFirstStart}
in_failure_budget = ${vm.dataFolder !== null}
${vm.dataFolder === null ? '' : `data_dir = "${vm.dataFolder}"\n`}\
heartbeat_ms = 1200
[listen]
front = "${ip}:${ports.front}"
ready = "${ip}:${ports.ready}"
control = "${ip}:${ports.control}"
directory = "${ip}:${ports.directory}"
${vm.peerListen === null ? '' : `internal = "${vm.peerListen}"\n`}\
[limits]
cpu_share = 0.608
cpu_cores = 2
memory_mb = ${vm.memoryMb}
max_fds = 4100
link_mbps = 1000.0
${vm.dataFolder === null ? '' : `disk_mb = ${vm.diskMb}\n`}\
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact_ms = ${bounds.contactMs}
ack_ms = ${bounds.ackMs}
drain_ms = ${bounds.drainMs}
grace_s = ${bounds.graceMs / MS_PER_SECOND}
loss_slack_ms = ${bounds.lossSlackMs}
config_apply_ms = ${bounds.configApplyMs}
rollback_slack_ms = ${bounds.rollbackSlackMs}
max_skew_ms = ${bounds.maxSkewMs}
fail_closed = true
revoke_ms = ${bounds.revokeMs}
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 64
quota_window_s = 8
quota_overage = 0.1
quota_slack = 72000
`;
}
