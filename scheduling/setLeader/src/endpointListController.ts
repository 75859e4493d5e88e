import type {View} from '@gentianshunt/board';
import {
  defineEntryController,
  findEntryAddress,
  iterateEndpoints,
  toEndpointTarget,
} from '@gentianshunt/entryModel';
import type {
  EndpointAnnouncement,
  EndpointList,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  LeadershipState,
  ListedEndpoint,
  SetEntryKey,
} from '@gentianshunt/entryModel';
import {hashText} from '@gentianshunt/hashing';
import type {
  EndpointId,
  EndpointSetId,
  NodeId,
} from '@gentianshunt/identifiers';

type ListReads =
  | 'control'
  | 'leaderships'
  | 'endpoints'
  | 'inheritedEndpoints'
  | 'withdrawnEndpoints'
  | 'demandReports'
  | 'endpointLists';
type ListView = View<EntrySections, ListReads, EntryObservation>;
type ListWrite = EntryWrite<'endpointLists'>;

/**
 * Creates the controller that sends the entries the endpoint lists of the led
 * sets. An entry gets the current list when the digest in its demand report
 * shows that it knows another one.
 */
export function createEndpointListController(): EntryController {
  return defineEntryController<ListReads, 'endpointLists'>({
    name: 'endpointLists',
    reads: [
      'control',
      'leaderships',
      'endpoints',
      'inheritedEndpoints',
      'withdrawnEndpoints',
      'demandReports',
      'endpointLists',
    ],
    writes: ['endpointLists'],
    observes: [],
    run: view => {
      const lists = listChangedLists(view);
      return [
        ...dropEndpointLists(view),
        ...lists.map((list): ListWrite => ({
          kind: 'put',
          section: 'endpointLists',
          key: list.set,
          value: list,
        })),
        ...answerDemandReports(view, lists),
      ];
    },
  });
}

function listChangedLists(view: ListView): readonly EndpointList[] {
  const sets = new Set<EndpointSetId>();
  for (const key of view.readChanges('endpoints')) {
    sets.add((key as {set: EndpointSetId}).set);
  }
  for (const section of ['leaderships', 'inheritedEndpoints'] as const) {
    for (const key of view.readChanges(section)) {
      sets.add(key as EndpointSetId);
    }
  }
  if (view.readChanges('withdrawnEndpoints').size > 0) {
    for (const set of view.board.inheritedEndpoints.keys()) {
      sets.add(set);
    }
  }
  return [...sets].flatMap(set => {
    const leadership = view.board.leaderships.get(set);
    if (leadership === undefined) {
      return [];
    }
    const list = createEndpointList(view, leadership);
    const known = view.board.endpointLists.get(set);
    const isSame = known?.digest === list.digest && known.epoch === list.epoch;
    return isSame ? [] : [list];
  });
}

/**
 * Creates the list of a led set. As long as it is what the previous leader listed,
 * it has the digest of that list, so that no entry needs it again.
 */
function createEndpointList(
  {board}: ListView,
  {set, epoch}: LeadershipState,
): EndpointList {
  const inherited = board.inheritedEndpoints.get(set);
  const before = new Map(
    inherited?.endpoints.map(item => [item.target.endpoint, item]),
  );
  const endpoints: ListedEndpoint[] = [];
  let digest = inherited?.digest ?? 0;
  for (const {value} of iterateEndpoints(board.endpoints, set)) {
    const {announcement, state} = value;
    const {endpoint, concurrency} = announcement;
    const known = before.get(endpoint);
    before.delete(endpoint);
    const item = {target: toEndpointTarget(announcement), concurrency};
    if (state !== 'active') {
      digest ^= known === undefined ? 0 : digestRemoval(endpoint);
      continue;
    }
    endpoints.push(item);
    digest ^= isSame(known, item) ? 0 : digestAnnouncement(announcement);
  }
  for (const [endpoint, item] of before) {
    if (board.withdrawnEndpoints.has(endpoint)) {
      digest ^= digestRemoval(endpoint);
    } else {
      endpoints.push(item);
    }
  }
  return {set, epoch, digest: digest >>> 0, endpoints};
}

function isSame(left: ListedEndpoint | undefined, right: ListedEndpoint) {
  return (
    left !== undefined &&
    left.concurrency === right.concurrency &&
    left.target.url === right.target.url &&
    left.target.software === right.target.software
  );
}

/** Digests that an endpoint of the previous leader's list is gone. */
function digestRemoval(endpoint: EndpointId): number {
  return hashText(`${endpoint}/removed`);
}

function digestAnnouncement(announcement: EndpointAnnouncement): number {
  const {endpoint, incarnation, url, concurrency, software} = announcement;
  return hashText(
    `${endpoint}/${incarnation}/${url}/${concurrency}/${software ?? ''}`,
  );
}

function dropEndpointLists({board}: ListView): readonly ListWrite[] {
  return [...board.endpointLists.keys()]
    .filter(set => !board.leaderships.has(set))
    .map(key => ({kind: 'delete', section: 'endpointLists', key}));
}

function answerDemandReports(
  view: ListView,
  changed: readonly EndpointList[],
): readonly ListWrite[] {
  return [...view.readChanges('demandReports')].flatMap(changedKey => {
    const key = changedKey as SetEntryKey;
    const record = view.board.demandReports.get(key);
    const list =
      changed.find(({set}) => set === key.set) ??
      view.board.endpointLists.get(key.set);
    if (record === undefined || list === undefined) {
      return [];
    }
    const knownDigest = record.report.endpointsDigest ?? 0;
    return knownDigest === list.digest
      ? []
      : sendEndpointList(view, key.node, list);
  });
}

function sendEndpointList(
  view: ListView,
  to: NodeId,
  list: EndpointList,
): readonly ListWrite[] {
  const address = findEntryAddress(view.board.control.directory, to);
  const message = {kind: 'endpointsListed', list} as const;
  return address === undefined
    ? []
    : [{kind: 'effect', effect: {kind: 'sendEntry', to, address, message}}];
}
