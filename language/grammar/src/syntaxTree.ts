/** A place in the text; both count from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** A value as it was written. */
export type Value =
  | {readonly kind: 'number'; readonly number: number}
  | {readonly kind: 'word'; readonly word: string}
  /** A quoted text, which need not have the form of a word. */
  | {readonly kind: 'text'; readonly text: string};

/** How a column is compared. */
export type Comparison = '=' | '!=' | '<' | '<=' | '>' | '>=';

/** A condition on the rows of a table. */
export type Condition =
  | {
      readonly kind: 'compare';
      readonly column: string;
      readonly comparison: Comparison;
      readonly value: Value;
      readonly position: TextPosition;
    }
  | {
      readonly kind: 'in';
      readonly column: string;
      readonly values: readonly Value[];
      readonly position: TextPosition;
    }
  | {readonly kind: 'not'; readonly condition: Condition}
  | {
      readonly kind: 'and' | 'or';
      readonly left: Condition;
      readonly right: Condition;
    };

/** By which column rows are ordered. */
export interface Ordering {
  readonly column: string;
  readonly direction: 'asc' | 'desc';
  readonly position: TextPosition;
}

/** A query of one table. */
export interface ShowStatement {
  readonly kind: 'show';
  readonly table: string;
  readonly where: Condition | null;
  readonly orderBy: Ordering | null;
  readonly limit: number | null;
  readonly position: TextPosition;
}

/** A field of an object and the values given to it. */
export interface Setting {
  readonly field: string;
  readonly values: readonly Value[];
  readonly position: TextPosition;
}

/** A command that changes one object. */
export interface ChangeStatement {
  readonly kind: 'create' | 'set' | 'delete' | 'drain' | 'undrain';
  /** Type of the object, such as `tier`. */
  readonly type: string;
  readonly id: string;
  readonly settings: readonly Setting[];
  /** Revision that the object must have; `null` for any. */
  readonly revision: number | null;
  readonly position: TextPosition;
}

/** A command that orders an endpoint to load or to change its role. */
export interface EndpointStatement {
  readonly kind: 'load' | 'changeRole';
  readonly endpoint: string;
  readonly settings: readonly Setting[];
  readonly position: TextPosition;
}

/** A command, as opposed to a query or a call for help. */
export type CommandStatement = ChangeStatement | EndpointStatement;

/** A call for help, on a topic or on the whole language. */
export interface HelpStatement {
  readonly kind: 'help';
  readonly topic: string | null;
  readonly position: TextPosition;
}

/** One statement of the language. */
export type Statement = ShowStatement | HelpStatement | CommandStatement;
