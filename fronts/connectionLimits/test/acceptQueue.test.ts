import {fork} from 'node:child_process';
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {MAX_ACCEPT_QUEUE} from '@gentianshunt/policy';
import t from 'tap';

const PROGRAM = fileURLToPath(new URL('./busyServer.js', import.meta.url));
/** Accepts 10 connections a second, fewer than come. */
const TURN_MS = 100;
const CALL_INTERVAL_MS = 50;
const PATIENCE_MS = 1_000;
const WARM_UP_MS = 6_000;
/** In each span of this length a ready entry has to answer somebody. */
const WINDOW_MS = 4_000;
const WINDOWS = 2;

/** Sends a call on a new connection; resolves to whether it was answered. */
function sendCall(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const call = request({port, agent: false}, response => {
      response.resume();
      response.once('end', () => resolve(true));
    });
    const timer = setTimeout(() => call.destroy(), PATIENCE_MS);
    call.once('error', () => resolve(false));
    call.once('close', () => clearTimeout(timer));
    call.end();
  });
}

/** Counts the answered ones of the calls that are sent in a time. */
async function countAnswered(port: number, durationMs: number) {
  const calls: Promise<boolean>[] = [];
  for (let sentMs = 0; sentMs < durationMs; sentMs += CALL_INTERVAL_MS) {
    calls.push(sendCall(port));
    await sleep(CALL_INTERVAL_MS);
  }
  const results = await Promise.all(calls);
  return results.filter(isAnswered => isAnswered).length;
}

// Guards against an entry that accepts only connections whose clients have left.
t.test('a busy process answers some of its new connections', async t => {
  const args = [TURN_MS, MAX_ACCEPT_QUEUE, 'adapted'].map(String);
  const child = fork(PROGRAM, args);
  const port = await new Promise<number>(resolve => {
    child.once('message', message =>
      resolve((message as {readonly port: number}).port),
    );
  });
  await countAnswered(port, WARM_UP_MS);
  for (let window = 0; window < WINDOWS; window += 1) {
    const answered = await countAnswered(port, WINDOW_MS);
    t.ok(answered > 0, `${answered} answered in ${WINDOW_MS} ms`);
  }
  child.kill('SIGKILL');
});
