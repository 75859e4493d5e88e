import type {BoardView} from '@gentianshunt/board';
import type {EntrySections} from '@gentianshunt/entryModel';
import type {ControlQuery, ControlQueryResult} from '@gentianshunt/messages';

/** A value in a row; `null` stands for none. */
export type Cell = string | number | boolean | null;

/** What the cells of a column are, apart from `null`. */
export type ColumnForm = 'text' | 'number' | 'boolean';

/** A column of a table. */
export interface Column {
  readonly name: string;
  readonly form: ColumnForm;
}

/** What tables are read from. */
export interface QuerySources {
  readonly board: BoardView<EntrySections>;
  /** The monotonic time to which waits are measured. */
  readonly monotonic: number;
  /** What the leading control daemon answered, if it was asked. */
  readonly control: ControlQueryResult | null;
}

/** Whether each entry has rows of its own or any entry has them all. */
export type TableScope = 'entry' | 'deployment';

/** A table that operators can query. */
export interface Table {
  readonly name: string;
  readonly help: string;
  readonly scope: TableScope;
  readonly columns: readonly Column[];
  /** What must be asked of the control daemons first; usually nothing. */
  readonly control: ControlQuery | null;
  listRows(sources: QuerySources): readonly (readonly Cell[])[];
}

/** A column and how it is read. */
export interface ColumnSpec<Item> extends Column {
  readonly read: (item: Item, sources: QuerySources) => Cell;
}

/** What a table is defined by. */
export interface TableSpec<Item> {
  readonly name: string;
  readonly help: string;
  readonly scope: TableScope;
  readonly control?: ControlQuery;
  readonly columns: readonly ColumnSpec<Item>[];
  readonly list: (sources: QuerySources) => Iterable<Item>;
}

/** Defines a table over typed items. */
export function defineTable<Item>(spec: TableSpec<Item>): Table {
  return {
    name: spec.name,
    help: spec.help,
    scope: spec.scope,
    columns: spec.columns.map(({name, form}) => ({name, form})),
    control: spec.control ?? null,
    listRows: sources =>
      Array.from(spec.list(sources), item =>
        spec.columns.map(column => column.read(item, sources)),
      ),
  };
}

/** Defines a column of text. */
export function defineText<Item>(
  name: string,
  read: ColumnSpec<Item>['read'],
): ColumnSpec<Item> {
  return {name, form: 'text', read};
}

/** Defines a column of numbers. */
export function defineNumber<Item>(
  name: string,
  read: ColumnSpec<Item>['read'],
): ColumnSpec<Item> {
  return {name, form: 'number', read};
}

/** Defines a column of truth values. */
export function defineBoolean<Item>(
  name: string,
  read: ColumnSpec<Item>['read'],
): ColumnSpec<Item> {
  return {name, form: 'boolean', read};
}
