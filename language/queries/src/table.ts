import type {BoardView} from '@gentianshunt/board';
import type {EntrySections} from '@gentianshunt/entryModel';
import type {ControlQuery, ControlQueryResult} from '@gentianshunt/messages';

/** A value in a row; `null` if there is none. */
export type Cell = string | number | boolean | null;

/** The type of the cells of a column, apart from `null`. */
export type ColumnType = 'text' | 'number' | 'boolean';

/** A column of a table. */
export interface Column {
  readonly name: string;
  /** Type of the cells. */
  readonly form: ColumnType;
}

/** The data that tables are read from. */
export interface QuerySources {
  readonly board: BoardView<EntrySections>;
  /** The current monotonic time, used to compute ages. */
  readonly monotonic: number;
  /** The current time of day. */
  readonly wall: Date;
  /** The result of the table's control query; `null` if it has none. */
  readonly controlResult: ControlQueryResult | null;
}

/** Whether each entry has its own rows, or any entry has all rows. */
export type TableScope = 'entry' | 'deployment';

/** A table that operators can query. */
export interface Table {
  readonly name: string;
  readonly help: string;
  readonly scope: TableScope;
  readonly columns: readonly Column[];
  /** Query to the control daemons that the rows need; `null` for most. */
  readonly controlQuery: ControlQuery | null;
  listRows(sources: QuerySources): readonly (readonly Cell[])[];
}

/** A column with the function that reads its cells. */
export interface ColumnSpec<Item> extends Column {
  readonly read: (item: Item, sources: QuerySources) => Cell;
}

/** The definition of a table. */
export interface TableSpec<Item> {
  readonly name: string;
  readonly help: string;
  readonly scope: TableScope;
  readonly controlQuery?: ControlQuery;
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
    controlQuery: spec.controlQuery ?? null,
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

/** Defines a column of booleans. */
export function defineBoolean<Item>(
  name: string,
  read: ColumnSpec<Item>['read'],
): ColumnSpec<Item> {
  return {name, form: 'boolean', read};
}
