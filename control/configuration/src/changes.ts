import type {EndpointDirective} from '@gentianshunt/orders';
import type {EndpointId} from '@gentianshunt/identifiers';

import type {
  ConfigurationObject,
  ObjectKey,
  OrganisationLimits,
  Revision,
} from './objects.js';

/** One change of the configuration, as it is stored and sent to entries. */
export type ConfigurationChange =
  | {readonly kind: 'put'; readonly object: ConfigurationObject}
  | {readonly kind: 'delete'; readonly key: ObjectKey};

type PatchableFields<Object extends ConfigurationObject> = Omit<
  Object,
  'kind' | 'id' | 'revision' | 'limits'
>;

/** New values for some fields of one object. */
export type ObjectPatch = {
  [Object in ConfigurationObject as Object['kind']]: Pick<
    Object,
    'kind' | 'id'
  > & {
    readonly fields: Partial<PatchableFields<Object>> &
      (Object extends {readonly limits: OrganisationLimits}
        ? {readonly limits?: Partial<OrganisationLimits>}
        : unknown);
  };
}[ConfigurationObject['kind']];

/** One command of an operator's batch. */
export type ObjectCommand =
  | {
      readonly kind: 'put';
      /** The new object; its revision is set when the command is applied. */
      readonly object: ConfigurationObject;
      /** Required current revision: 0 for no object, `null` for any. */
      readonly expectedRevision: Revision | null;
    }
  | {
      /** Changes the named fields and leaves the others as they are. */
      readonly kind: 'update';
      readonly patch: ObjectPatch;
      readonly expectedRevision: Revision | null;
    }
  | {
      /** Queues an order to an endpoint. */
      readonly kind: 'order';
      readonly endpoint: EndpointId;
      readonly directive: EndpointDirective;
      readonly expectedRevision: Revision | null;
    }
  | {
      readonly kind: 'delete';
      readonly key: ObjectKey;
      readonly expectedRevision: Revision | null;
    };

/** Why a batch of commands was refused as a whole. */
export type CommandRefusal =
  | {
      readonly kind: 'revisionMismatch';
      readonly key: ObjectKey;
      readonly expected: Revision;
      readonly current: Revision;
    }
  | {readonly kind: 'notFound'; readonly key: ObjectKey}
  | {
      readonly kind: 'brokenReference';
      readonly key: ObjectKey;
      readonly missing: ObjectKey;
    }
  | {
      readonly kind: 'stillReferenced';
      readonly key: ObjectKey;
      readonly by: ObjectKey;
    }
  | {
      /** The set cannot be deleted because it has endpoints. */
      readonly kind: 'setInUse';
      readonly key: ObjectKey;
    }
  | {
      /** Another tier has the same rank. */
      readonly kind: 'rankTaken';
      readonly key: ObjectKey;
      readonly rank: number;
      readonly by: ObjectKey;
    }
  | {
      /** At least one tier must remain, or no request could be served. */
      readonly kind: 'lastTier';
      readonly key: ObjectKey;
    }
  | {
      /** An order to the endpoint is being executed. */
      readonly kind: 'orderUnderWay';
      readonly key: ObjectKey;
    }
  | {readonly kind: 'batchTooLong'; readonly limit: number}
  | {
      readonly kind: 'invalidValue';
      readonly key: ObjectKey;
      readonly reason: string;
    };

/** The result of a batch, which is applied as a whole or not at all. */
export type BatchResult =
  | {
      readonly kind: 'accepted';
      readonly changes: readonly ConfigurationChange[];
    }
  | {readonly kind: 'refused'; readonly refusal: CommandRefusal};
