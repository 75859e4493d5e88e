/** Gauges of a control member. */
import type {BoardView} from '@gentianshunt/board';
import {listLatestMembers, measureLog} from '@gentianshunt/controlModel';
import type {ControlSections} from '@gentianshunt/controlModel';
import type {Member} from '@gentianshunt/messages';
import {Counter, Gauge} from 'prom-client';
import type {Registry} from 'prom-client';

/** A control member whose state is scraped. */
export interface ScrapedMember {
  readonly view: BoardView<ControlSections>;
  /** Measures the files of its data folder, in bytes. */
  readonly measureFolder: () => Promise<number>;
}

/** A gauge of a control member. */
interface MemberGauge {
  readonly name: string;
  readonly help: string;
  /** Returns `undefined` if the member does not know it. */
  read(member: ScrapedMember): number | undefined | Promise<number>;
}

const MEMBER_GAUGES: readonly MemberGauge[] = [
  {
    name: 'term',
    help: 'Current term.',
    read: ({view}) => view.ballot.term,
  },
  {
    name: 'leader',
    help: 'Whether this member leads: 1 or 0.',
    read: ({view}) => (view.role.kind === 'leader' ? 1 : 0),
  },
  {
    name: 'leader_confirmed',
    help: 'Whether this member leads and may answer entries: 1 or 0.',
    read: ({view}) => (view.leaderConfirmation.kind === 'confirmed' ? 1 : 0),
  },
  {
    name: 'voters',
    help: 'Voters of the group.',
    read: ({view}) => countMembers(view, 'voter'),
  },
  {
    name: 'learners',
    help: 'Learners of the group.',
    read: ({view}) => countMembers(view, 'learner'),
  },
  {
    name: 'copies',
    help: 'Voters that answer and hold what is committed; only the leader knows.',
    read: ({view}) =>
      view.copyWatch.kind === 'leading' ? view.copyWatch.copies : undefined,
  },
  {
    name: 'joiners_waiting',
    help: 'Nodes that wait to join the group; only the leader knows.',
    read: ({view}) =>
      view.role.kind === 'leader' ? view.joinWatch.waiting.size : undefined,
  },
  {
    name: 'commit_index',
    help: 'Last committed index of the log.',
    read: ({view}) => view.logStatus.commitIndex,
  },
  {
    name: 'synced_index',
    help: 'Last index of the log that is on disk.',
    read: ({view}) => view.logStatus.syncedIndex,
  },
  {
    name: 'configuration_version',
    help: 'Version of the configuration applied here.',
    read: ({view}) => view.applied.version,
  },
  {
    name: 'release',
    help: "The operator's version of the configuration applied here; -1 if none.",
    read: ({view}) => view.source.version,
  },
  {
    name: 'entry_sessions',
    help: 'Entries that hold a lease from this member.',
    read: ({view}) => view.sessions.size,
  },
  {
    name: 'claims',
    help: 'Idempotency keys remembered.',
    read: ({view}) => view.claims.size,
  },
  {
    name: 'log_entries',
    help: 'Entries of the log in memory.',
    read: ({view}) => view.logUsage.entries,
  },
  {
    name: 'log_bytes',
    help: 'Estimated bytes of the entries of the log in memory.',
    read: ({view}) => view.logUsage.bytes,
  },
  {
    name: 'log_since_snapshot_bytes',
    help: 'Estimated bytes of the applied entries after the latest snapshot.',
    read: ({view}) => view.logUsage.sinceSnapshotBytes,
  },
  {
    name: 'log_uncommitted_bytes',
    help: 'Bytes of the entries that are not committed.',
    read: ({view}) => measureLog(view).uncommittedBytes,
  },
  {
    name: 'log_unsynced_bytes',
    help: 'Bytes of the entries that are not on disk.',
    read: ({view}) => measureLog(view).unsyncedBytes,
  },
  {
    name: 'snapshot_bytes',
    help: 'Bytes of the latest snapshot.',
    read: ({view}) => view.snapshotBytes,
  },
  {
    name: 'folder_bytes',
    help: 'Bytes of the files in the data folder.',
    read: ({measureFolder}) => measureFolder(),
  },
];

function countMembers(
  view: ScrapedMember['view'],
  role: Member['role'],
): number {
  return listLatestMembers(view).filter(member => member.role === role).length;
}

/** Adds the gauges of a member; without one they have no value. */
export function addControlGauges(
  registry: Registry,
  readMember: () => ScrapedMember | undefined,
): void {
  for (const {name, help, read} of MEMBER_GAUGES) {
    const gauge: Gauge = new Gauge({
      name: `gentianshunt_control_${name}`,
      help,
      registers: [registry],
      collect: async () => {
        const member = readMember();
        const value = member === undefined ? undefined : await read(member);
        if (value === undefined) {
          gauge.remove();
        } else {
          gauge.set(value);
        }
      },
    });
  }
  addMemberChangeCounter(registry, readMember);
}

function addMemberChangeCounter(
  registry: Registry,
  readMember: () => ScrapedMember | undefined,
): void {
  const counter: Counter = new Counter({
    name: 'gentianshunt_control_member_changes_total',
    help: 'Membership changes that came in force since the start.',
    registers: [registry],
    collect: () => {
      counter.reset();
      counter.inc(readMember()?.view.memberChanges.count ?? 0);
    },
  });
}
