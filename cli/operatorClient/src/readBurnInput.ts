import type {BurnInput} from '@gentianshunt/burn';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {ServiceCountKey, ServiceTotals} from '@gentianshunt/messages';
import {listRecords} from '@gentianshunt/queries';
import type {Cell} from '@gentianshunt/queries';

import {QueryFailedError} from './operatorClientErrors.js';
import {runQueryText} from './runQueryText.js';
import type {EntryAccess} from './sendToEntry.js';

type Row = Readonly<Record<string, Cell>>;

/** Queries the tables that a burn report is computed from. */
export async function readBurnInput(access: EntryAccess): Promise<BurnInput> {
  const tiers = await readRows(access, 'tiers');
  const kinds = await readRows(access, 'kinds');
  const months = await readRows(access, 'counts');
  const recent = await readRows(access, 'recent');
  return {
    tiers: tiers.map(row => ({
      id: toIdentifier(readText(row, 'name')),
      rank: Number(row['rank']),
      objective: Number(row['objective']),
    })),
    kinds: kinds.map(row => ({
      id: toIdentifier(readText(row, 'name')),
      weight: Number(row['weight']),
    })),
    months: months.map(row => ({
      key: {...readLabels(row), month: toIdentifier(readText(row, 'month'))},
      totals: readTotals(row),
    })),
    recent: recent.map(row => ({
      key: {...readLabels(row), startMs: Number(row['start-ms'])},
      totals: readTotals(row),
    })),
  };
}

async function readRows(
  access: EntryAccess,
  table: string,
): Promise<readonly Row[]> {
  const outcome = await runQueryText(access, `show ${table}`);
  if (outcome.kind !== 'rows') {
    throw new QueryFailedError(access.entries.join(','), table, outcome.kind);
  }
  return listRecords(outcome.result);
}

function readText(row: Row, column: string): string {
  return String(row[column]);
}

type CountLabels = Pick<ServiceCountKey, 'tier' | 'organisation' | 'kind'>;

function readLabels(row: Row): CountLabels {
  return {
    tier: toIdentifier(readText(row, 'tier')),
    organisation: toIdentifier(readText(row, 'organisation')),
    kind: toIdentifier(readText(row, 'kind')),
  };
}

function readTotals(row: Row): ServiceTotals {
  return {
    answered: Number(row['answered']),
    onTime: Number(row['on-time']),
    answeredWeight: Number(row['answered-weight']),
    shed: Number(row['shed']),
    failed: Number(row['failed']),
    abandoned: Number(row['abandoned']),
  };
}
