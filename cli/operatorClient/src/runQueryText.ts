import {parseText, printStatement} from '@gentianshunt/grammar';
import type {LanguageIssue, ShowStatement} from '@gentianshunt/grammar';
import {findTable, runQuery} from '@gentianshunt/queries';
import type {Cell, QueryResult} from '@gentianshunt/queries';

import {sendToAny, sendToEntry} from './sendToEntry.js';
import type {EntryAccess} from './sendToEntry.js';

/** The result of a query or help text, or an error. */
export type QueryTextOutcome =
  | {
      readonly kind: 'rows';
      readonly result: QueryResult;
      /** URLs of entries with rows of their own that did not answer. */
      readonly missing: readonly string[];
    }
  | {readonly kind: 'help'; readonly text: string}
  | {readonly kind: 'issue'; readonly issue: LanguageIssue}
  | {readonly kind: 'unavailable'};

type EntryReply =
  | {readonly kind: 'rows'; readonly result: QueryResult}
  | Exclude<QueryTextOutcome, {readonly kind: 'rows'}>;

/** Runs a query; joins the rows of all entries if each has its own rows. */
export async function runQueryText(
  access: EntryAccess,
  text: string,
): Promise<QueryTextOutcome> {
  const parsed = parseText(text);
  if (parsed.kind === 'failed') {
    return {kind: 'issue', issue: parsed.issue};
  }
  const [statement] = parsed.statements;
  const isPerEntry =
    parsed.statements.length === 1 &&
    statement?.kind === 'show' &&
    findTable(statement.table)?.scope === 'entry';
  return isPerEntry
    ? queryEveryEntry(access, statement)
    : addMissing(await queryAnyEntry(access, text), []);
}

function addMissing(
  reply: EntryReply,
  missing: readonly string[],
): QueryTextOutcome {
  return reply.kind === 'rows' ? {...reply, missing} : reply;
}

async function queryAnyEntry(
  access: EntryAccess,
  text: string,
): Promise<EntryReply> {
  const message = {path: '/v1/operator/query', body: {text}};
  const answer = await sendToAny(
    access,
    message,
    ({body}) => (body as EntryReply).kind !== 'unavailable',
  );
  return answer.body as EntryReply;
}

/**
 * Queries all entries. Each entry applies the condition; ordering and limit
 * are applied to the joined rows.
 */
async function queryEveryEntry(
  access: EntryAccess,
  statement: ShowStatement,
): Promise<QueryTextOutcome> {
  const urls = await listEntries(access);
  const text = printStatement({...statement, orderBy: null, limit: null});
  const replies = await Promise.all(
    urls.map(url => queryEntry(access, url, text)),
  );
  const missing = urls.filter((_url, index) => replies[index] === null);
  const rows: (readonly Cell[])[] = [];
  let columns: QueryResult['columns'] = [];
  for (const reply of replies) {
    if (reply === null) {
      continue;
    }
    if (reply.kind !== 'rows') {
      return reply;
    }
    columns = reply.result.columns;
    rows.push(...reply.result.rows);
  }
  const joined = runQuery({
    statement: {...statement, where: null},
    columns,
    rows,
  });
  return joined.kind === 'failed'
    ? {kind: 'issue', issue: joined.issue}
    : {kind: 'rows', result: joined.result, missing};
}

/** Lists the URLs of all entries; only the given ones if that fails. */
async function listEntries(access: EntryAccess): Promise<readonly string[]> {
  const reply = await queryAnyEntry(access, 'show entries');
  if (reply.kind !== 'rows') {
    return access.entries;
  }
  const index = reply.result.columns.findIndex(({name}) => name === 'url');
  return reply.result.rows.map(row => String(row[index]));
}

async function queryEntry(
  access: EntryAccess,
  url: string,
  text: string,
): Promise<EntryReply | null> {
  try {
    const message = {path: '/v1/operator/query', body: {text}};
    const answer = await sendToEntry(access, url, message);
    return answer.body as EntryReply;
  } catch {
    return null;
  }
}
