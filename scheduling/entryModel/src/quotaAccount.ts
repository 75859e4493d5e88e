/**
 * The accounts of a token quota. Each holds an equal part of the quota and has
 * an owner of its own, so that the loss of one owner leaves the other parts.
 */
import type {OrganisationId, QuotaAccountId} from '@gentianshunt/identifiers';

/** Number of accounts of an organisation. */
export const QUOTA_ACCOUNT_COUNT = 2;

const SEPARATOR = '.';

/** Lists the accounts of an organisation. */
export function listQuotaAccounts(
  organisation: OrganisationId,
): readonly QuotaAccountId[] {
  return Array.from({length: QUOTA_ACCOUNT_COUNT}, (_, part) =>
    formatQuotaAccount(organisation, part),
  );
}

/** Formats the name of an account: the part and the organisation. */
export function formatQuotaAccount(
  organisation: OrganisationId,
  part: number,
): QuotaAccountId {
  return `${part}${SEPARATOR}${organisation}` as QuotaAccountId;
}

/** Reads which part of the quota an account holds. */
export function readQuotaPart(account: QuotaAccountId): number {
  return Number(account.slice(0, account.indexOf(SEPARATOR)));
}

/** Reads the organisation of an account. */
export function readQuotaOrganisation(account: QuotaAccountId): OrganisationId {
  return account.slice(account.indexOf(SEPARATOR) + 1) as OrganisationId;
}
