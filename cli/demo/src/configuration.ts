/** The batch of commands that creates the demonstration's configuration. */
export const DEMO_COMMANDS = `
  create tier gold rank 1 weight 4 first-token-target-ms 1100;
  create tier silver rank 2 weight 2 first-token-target-ms 1100;
  create tier bronze rank 3 weight 1 first-token-target-ms 1100;
  create organisation north-lab weight 3 tiers gold, silver, bronze;
  create organisation south-lab weight 1 tiers gold, silver, bronze;
  create set drafts model draft-model;
  create set registry service registry;
  create kind draft idempotent true weight 2;
  create kind summary idempotent true weight 1;
  create kind issue-number idempotent false weight 3;
`;
