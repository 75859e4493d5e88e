import type {ConfigurationObject, ObjectKey, Revision} from './objects.js';

/** One effect on the table, as entries receive it. */
export type ConfigurationChange =
  | {readonly kind: 'put'; readonly object: ConfigurationObject}
  | {readonly kind: 'delete'; readonly key: ObjectKey};

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
