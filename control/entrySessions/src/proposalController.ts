import type {TurnTime, View} from '@gentianshunt/board';
import {formatObjectKey, listObjects} from '@gentianshunt/configuration';
import {defineControlController} from '@gentianshunt/controlModel';
import type {
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
} from '@gentianshunt/controlModel';
import type {EntryToControl, LogPayload} from '@gentianshunt/messages';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';

type ProposalReads =
  'role' | 'configuration' | 'sessions' | 'pending' | 'proposals';
type ProposalView = View<ControlSections, ProposalReads, ControlObservation>;

/** Creates the controller that proposes payloads to the leader's log. */
export function createProposalController(): ControlController {
  return defineControlController<ProposalReads, 'proposals'>({
    name: 'proposals',
    reads: ['role', 'configuration', 'sessions', 'pending', 'proposals'],
    writes: ['proposals'],
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) => {
      if (view.board.role.kind !== 'leader') {
        return [];
      }
      const proposals = listProposals(view, now);
      return proposals.length === 0 ? [] : [setProposals(proposals)];
    },
  });
}

function setProposals(value: readonly LogPayload[]): ControlWrite<'proposals'> {
  return {kind: 'set', section: 'proposals', value};
}

function listProposals(
  view: ProposalView,
  now: TurnTime,
): readonly LogPayload[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'entryMessage':
      return proposeMessage(observation.from, observation.message, now);
    case 'timerDue':
      return observation.timer.kind === 'sessions'
        ? proposeSetLeaders(view, now)
        : [];
    default:
      return [];
  }
}

/** Proposing twice is harmless: the state machine takes the first only. */
function proposeMessage(
  from: NodeId,
  message: EntryToControl,
  now: TurnTime,
): readonly LogPayload[] {
  switch (message.kind) {
    case 'commandRequest':
      return [{kind: 'command', command: message.command}];
    case 'claimRequest':
      return [
        {
          kind: 'claim',
          key: message.key,
          digest: message.digest,
          node: from,
          request: message.request,
          atMs: now.wall.getTime(),
        },
      ];
    case 'settleRequest':
      return [
        {
          kind: 'settleClaim',
          key: message.key,
          request: message.request,
          outcome: message.outcome,
        },
      ];
    default:
      return [];
  }
}

/** Gives each set without a live leader to the entry that leads fewest. */
function proposeSetLeaders(
  view: ProposalView,
  now: TurnTime,
): readonly LogPayload[] {
  const {configuration, sessions} = view.board;
  const led = new Map<NodeId, number>();
  for (const session of sessions.values()) {
    if (session.leaseUntil > now.monotonic && !session.draining) {
      led.set(session.entry.node, 0);
    }
  }
  const orphans: EndpointSetId[] = [];
  for (const {id} of listObjects(configuration, 'endpointSet')) {
    const leadership = configuration.get(formatObjectKey('setLeadership', id));
    const node =
      leadership?.kind === 'setLeadership' ? leadership.node : undefined;
    if (node !== undefined && led.has(node)) {
      led.set(node, led.get(node)! + 1);
    } else {
      orphans.push(id);
    }
  }
  return orphans.flatMap(set => {
    const node = pickLeastLoaded(led);
    if (node === undefined) {
      return [];
    }
    led.set(node, led.get(node)! + 1);
    return [{kind: 'assignSetLeader', set, node} as const];
  });
}

function pickLeastLoaded(led: ReadonlyMap<NodeId, number>): NodeId | undefined {
  let best: NodeId | undefined;
  for (const [node, count] of led) {
    if (best === undefined || count < led.get(best)!) {
      best = node;
    }
  }
  return best;
}
