// Runs a case: prepares its machines, ends all that it started, and exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run.
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {createDeployment, createRecord} from './deployment.mjs';

/** Longest time that a case may take. */
const LIMIT_MS = 112_000;

/** Whether the case plays its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

/**
 * Runs a case beside its record. `run` gets the record, the deployment and a
 * list to which it adds what must be closed; it returns the exit code.
 */
export async function runCase(moduleUrl, options, run) {
  const folder = dirname(fileURLToPath(moduleUrl));
  const record = createRecord(join(folder, 'record.txt'));
  record.add(`TROUBLE=${isTroubled ? 1 : 0}`);
  const deployment = await createDeployment({...options, record});
  const closing = [];
  let isEnding = false;
  const end = async code => {
    if (isEnding) {
      return;
    }
    isEnding = true;
    await deployment.close();
    await Promise.race([
      Promise.allSettled(closing.map(each => each.close())),
      new Promise(resolve => setTimeout(resolve, 3_000)),
    ]);
    record.add(`result ${code}`);
    console.log(`result ${code}`);
    process.exit(code);
  };
  const stopped = why => {
    record.add(why);
    void end(2);
  };
  process.on('SIGTERM', () => stopped('stopped by SIGTERM'));
  process.on('SIGINT', () => stopped('stopped by SIGINT'));
  process.on('uncaughtException', error => stopped(`failed: ${error.message}`));
  setTimeout(() => stopped('the case took too long'), LIMIT_MS);
  let code = 2;
  try {
    code = await run({record, deployment, closing});
  } catch (error) {
    record.add(`the case could not run: ${error.message}`);
  }
  await end(code);
}
