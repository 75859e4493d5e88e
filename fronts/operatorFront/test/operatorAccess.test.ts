import {createHash} from 'node:crypto';

import t from 'tap';

import {toIdentifier} from '@gentianshunt/identifiers';

import {findOperator} from '../src/index.js';
import type {OperatorAccess, OperatorKey} from '../src/index.js';

function createKey(operator: string, key: string): OperatorKey {
  const digest = createHash('sha256').update(key).digest();
  return {operator: toIdentifier(operator), digest};
}

t.test('a key identifies the operator, a name alone does not', async t => {
  const keys: OperatorAccess = {
    kind: 'keys',
    keys: [createKey('anna', 'key-a'), createKey('ben', 'key-b')],
  };
  const insecure: OperatorAccess = {kind: 'insecure'};
  const cases = [
    {access: keys, authorization: 'Bearer key-a', operator: 'anna'},
    {access: keys, authorization: 'Bearer key-b', operator: 'ben'},
    {access: keys, authorization: 'Bearer key-c', operator: undefined},
    {access: keys, authorization: 'key-a', operator: undefined},
    {access: keys, authorization: 'Bearer key-a x', operator: undefined},
    {access: keys, name: 'anna', operator: undefined},
    {access: insecure, name: 'anna', operator: 'anna'},
    {access: insecure, operator: 'anonymous'},
    {access: insecure, name: 'a b', operator: 'anonymous'},
  ];
  for (const {access, authorization, name, operator} of cases) {
    t.equal(findOperator(access, {authorization, name}), operator);
  }
});
