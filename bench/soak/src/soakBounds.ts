import type {SiteBounds} from '@gentianshunt/platformWorker';

/** The values of the rules, as the settings of the smallest site name them. */
export const BOUNDS: SiteBounds = {
  contactMs: 3_000,
  ackMs: 4_000,
  drainMs: 2_000,
  graceMs: 8_000,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  rollbackSlackMs: 250,
  maxSkewMs: 5_000,
  revokeMs: 5_000,
};

/** Time after which the deployment serves again once all VMs are back. */
export const RECOVER_MS = 12_000;
