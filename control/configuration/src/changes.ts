import type {EndpointDirective} from '@gentianshunt/orders';
import type {EndpointId} from '@gentianshunt/identifiers';

import type {
  ConfigurationObject,
  ObjectKey,
  OrganisationLimits,
  Revision,
} from './objects.js';

/** One effect on the table, as entries receive it. */
export type ConfigurationChange =
  | {readonly kind: 'put'; readonly object: ConfigurationObject}
  | {readonly kind: 'delete'; readonly key: ObjectKey};

type FieldsOf<Object extends ConfigurationObject> = Omit<
  Object,
  'kind' | 'id' | 'revision' | 'limits'
>;

/** New values for some fields of an object. */
export type ObjectPatch = {
  [Object in ConfigurationObject as Object['kind']]: Pick<
    Object,
    'kind' | 'id'
  > & {
    readonly fields: Partial<FieldsOf<Object>> &
      (Object extends {readonly limits: OrganisationLimits}
        ? {readonly limits?: Partial<OrganisationLimits>}
        : unknown);
  };
}[ConfigurationObject['kind']];

/** One step of an operator's command. */
export type ObjectCommand =
  | {
      readonly kind: 'put';
      /** The wanted object; its revision is set when it is applied. */
      readonly object: ConfigurationObject;
      /** Revision the operator saw: 0 for none, `null` for any. */
      readonly expectedRevision: Revision | null;
    }
  | {
      /** Changes the named fields and leaves the others as they are. */
      readonly kind: 'update';
      readonly patch: ObjectPatch;
      readonly expectedRevision: Revision | null;
    }
  | {
      /** Orders an endpoint to do something. */
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

/** Why a batch of commands was refused; nothing of it was applied. */
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
      /** The set has endpoints. */
      readonly kind: 'setInUse';
      readonly key: ObjectKey;
    }
  | {
      readonly kind: 'rankTaken';
      readonly key: ObjectKey;
      readonly rank: number;
      readonly by: ObjectKey;
    }
  | {
      /** Without a tier no request could be served. */
      readonly kind: 'lastTier';
      readonly key: ObjectKey;
    }
  | {
      /** An order to the endpoint is being carried out. */
      readonly kind: 'orderUnderWay';
      readonly key: ObjectKey;
    }
  | {readonly kind: 'batchTooLong'; readonly limit: number}
  | {
      readonly kind: 'invalidValue';
      readonly key: ObjectKey;
      readonly reason: string;
    };

/** The outcome of a batch: all of it or nothing. */
export type BatchResult =
  | {
      readonly kind: 'accepted';
      readonly changes: readonly ConfigurationChange[];
    }
  | {readonly kind: 'refused'; readonly refusal: CommandRefusal};
