import type {ControlObservation} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId, OperatorId, RequestId} from '@gentianshunt/identifiers';
import type {EntryToControl} from '@gentianshunt/messages';

const ENTRY = toIdentifier<NodeId>('entry-0');

/** Creates the message of an entry with an operator's command. */
export function createPutCommand(number: number): ControlObservation {
  const message = createCommand(number);
  return {kind: 'entryMessage', from: ENTRY, message};
}

function createCommand(number: number): EntryToControl {
  return {
    kind: 'commandRequest',
    correlation: toIdentifier<RequestId>(`request-${number}`),
    command: {
      number,
      operator: toIdentifier<OperatorId>('operator'),
      digest: `digest-${number}`,
      commands: [
        {
          kind: 'put',
          expectedRevision: 0,
          object: {
            kind: 'requestKind',
            id: toIdentifier(`kind-${number}`),
            revision: 0,
            idempotent: true,
            weight: 1,
          },
        },
      ],
    },
  };
}
