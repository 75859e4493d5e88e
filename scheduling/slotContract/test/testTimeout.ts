/** Time limit of a test file that plays many entries. */
export const TEST_TIMEOUT_MS = 120_000;
