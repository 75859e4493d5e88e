import type {QueryResult} from './runQuery.js';
import type {Cell} from './table.js';

const COLUMN_GAP = '  ';

/** Formats a result as a table with aligned columns. */
export function formatResult(result: QueryResult): string {
  const header = result.columns.map(({name}) => name);
  const rows = result.rows.map(row => row.map(formatCell));
  const widths = header.map((name, index) =>
    rows.reduce(
      (width, row) => Math.max(width, row[index]!.length),
      name.length,
    ),
  );
  const lines = [header, ...rows].map(cells =>
    cells
      .map((cell, index) => cell.padEnd(widths[index]!))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
  const count = result.rows.length;
  const omitted = result.omitted === 0 ? '' : `, ${result.omitted} left out`;
  return [
    ...lines,
    `(${count} ${count === 1 ? 'row' : 'rows'}${omitted})`,
  ].join('\n');
}

function formatCell(cell: Cell): string {
  return cell === null ? '-' : String(cell);
}

/** Lists the rows as objects whose keys are the column names. */
export function listRecords(
  result: QueryResult,
): readonly Readonly<Record<string, Cell>>[] {
  return result.rows.map(row =>
    Object.fromEntries(
      result.columns.map(({name}, index) => [name, row[index]!]),
    ),
  );
}
