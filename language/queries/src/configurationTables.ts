import {findObject, listObjects} from '@gentianshunt/configuration';
import type {
  EndpointOrder,
  EndpointSet,
  Organisation,
  RequestKind,
  Tier,
} from '@gentianshunt/configuration';
import type {EndpointRecord} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {DirectoryEntry} from '@gentianshunt/messages';
import {formatDirective} from '@gentianshunt/orders';

import {defineBoolean, defineNumber, defineTable, defineText} from './table.js';

export const ORGANISATIONS_TABLE = defineTable<Organisation>({
  name: 'organisations',
  help: 'Organisations of the configuration.',
  scope: 'deployment',
  columns: [
    defineText('name', object => object.id),
    defineNumber('revision', object => object.revision),
    defineNumber('weight', object => object.weight),
    defineText('tiers', object => object.tiers.join(' ')),
    defineNumber('max-running', object => object.limits.maxRunning),
    defineNumber(
      'max-requests-per-second',
      object => object.limits.maxRequestsPerSecond,
    ),
  ],
  list: ({board}) => listObjects(board.configuration, 'organisation'),
});

export const TIERS_TABLE = defineTable<Tier>({
  name: 'tiers',
  help: 'Tiers of the configuration.',
  scope: 'deployment',
  columns: [
    defineText('name', object => object.id),
    defineNumber('revision', object => object.revision),
    defineNumber('rank', object => object.rank),
    defineNumber('weight', object => object.weight),
    defineNumber('first-token-target-ms', object => object.firstTokenTargetMs),
    defineNumber('objective', object => object.objective),
  ],
  list: ({board}) => listObjects(board.configuration, 'tier'),
});

/** The endpoint sets and their leaders. */
export const SETS_TABLE = defineTable<EndpointSet>({
  name: 'sets',
  help: 'Endpoint sets and the entries that lead them.',
  scope: 'deployment',
  columns: [
    defineText('name', object => object.id),
    defineNumber('revision', object => object.revision),
    defineText('region', object => object.region),
    defineText('service-kind', object => object.service.kind),
    defineText('service', readService),
    defineText(
      'leader',
      (object, {board}) =>
        findObject(board.configuration, 'setLeadership', object.id)?.node ??
        null,
    ),
    defineNumber(
      'epoch',
      (object, {board}) =>
        findObject(board.configuration, 'setLeadership', object.id)?.epoch ??
        null,
    ),
  ],
  list: ({board}) => listObjects(board.configuration, 'endpointSet'),
});

function readService({service}: EndpointSet): string {
  switch (service.kind) {
    case 'model':
      return service.model;
    case 'plain':
      return service.service;
    case 'quotas':
      return '';
    default:
      return assertNever(service, 'readService');
  }
}

export const KINDS_TABLE = defineTable<RequestKind>({
  name: 'kinds',
  help: 'Kinds of request.',
  scope: 'deployment',
  columns: [
    defineText('name', object => object.id),
    defineNumber('revision', object => object.revision),
    defineBoolean('idempotent', object => object.idempotent),
    defineNumber('weight', object => object.weight),
  ],
  list: ({board}) => listObjects(board.configuration, 'requestKind'),
});

/** The endpoints of the sets that the queried entry leads. */
export const ENDPOINTS_TABLE = defineTable<EndpointRecord>({
  name: 'endpoints',
  help: 'Endpoints of the sets that the queried entry leads.',
  scope: 'entry',
  columns: [
    defineText('name', ({announcement}) => announcement.endpoint),
    defineText('set', ({announcement}) => announcement.set),
    defineText('state', record => record.state),
    defineBoolean('draining', ({announcement}, {board}) => {
      const {endpoint} = announcement;
      const policy = findObject(
        board.configuration,
        'endpointPolicy',
        endpoint,
      );
      return policy?.state === 'draining';
    }),
    defineText('domain', ({announcement}) => announcement.domain),
    defineText('url', ({announcement}) => announcement.url),
    defineNumber('concurrency', ({announcement}) => announcement.concurrency),
    defineNumber(
      'running',
      ({announcement}) => announcement.load?.running ?? null,
    ),
    defineNumber(
      'waiting',
      ({announcement}) => announcement.load?.waiting ?? null,
    ),
    defineBoolean(
      'checks-fencing',
      ({announcement}) => announcement.checksFencing,
    ),
    defineNumber('silent-ms', (record, {monotonic}) =>
      Math.round(monotonic - record.seenAt),
    ),
  ],
  list: ({board}) =>
    Array.from(board.endpoints.iterateFrom(), ({value}) => value),
});

/** The entries that hold a lease. */
export const ENTRIES_TABLE = defineTable<DirectoryEntry>({
  name: 'entries',
  help: 'Entries that hold a configuration lease.',
  scope: 'deployment',
  columns: [
    defineText('name', ({address}) => address.node),
    defineText('region', ({address}) => address.region),
    defineText('domain', ({address}) => address.domain),
    defineText(
      'url',
      ({address}) => `http://${address.http.host}:${address.http.port}`,
    ),
    defineBoolean('draining', entry => entry.draining),
  ],
  list: ({board}) => board.control.directory.entries,
});

/** The latest order to each endpoint and its progress. */
export const ORDERS_TABLE = defineTable<EndpointOrder>({
  name: 'orders',
  help: 'Latest order to each endpoint and its progress.',
  scope: 'deployment',
  columns: [
    defineText('endpoint', order => order.id),
    defineNumber('revision', order => order.revision),
    defineText('order', order => formatDirective(order.directive)),
    defineText('state', order => order.state.kind),
    defineText('result', ({state}) =>
      state.kind === 'ended' ? state.result.kind : null,
    ),
    defineNumber('fencing', ({state}) =>
      state.kind === 'queued' ? null : state.fencing,
    ),
    defineText('carried-by', ({state}) =>
      state.kind === 'issued' ? state.node : null,
    ),
  ],
  list: ({board}) => listObjects(board.configuration, 'endpointOrder'),
});
