// All machines are stopped and started in turn. The streams that the last one
// cannot complete in its grace are taken up again at the others.
import {delay, putConfig, waitReady} from '../lib-2/deployment.mjs';
import {isTroubled, runCase} from '../lib-2/runCase.mjs';
import {
  createStreamConfig,
  runStreamClient,
  startStreamWorker,
} from '../lib-2/streams.mjs';

const CLIENTS = 16;
/** From the settings: a process is killed so long after SIGTERM. */
const GRACE_MS = 8_000;
/** From the settings: a machine is lost for so long after its start. */
const CATCH_UP_MS = 4_000;
const GAP_MS = 1_000;
/** The system has run for so long: more than twice the route's timeout. */
const STEADY_MS = 34_000;
const EVENTS = 145;

await runCase(
  import.meta.url,
  {machines: 4},
  async ({record, deployment, closing}) => {
    deployment.startAll();
    if (
      (await putConfig(deployment, createStreamConfig(1), {record}))?.status !==
      200
    ) {
      return 2;
    }
    const common = {deployment, record};
    for (const id of ['i-a', 'i-b']) {
      closing.push(
        await startStreamWorker({
          ...common,
          id,
          version: 'v1',
          events: EVENTS,
          slots: 64,
        }),
      );
    }
    if (!(await waitReady(deployment))) {
      return 2;
    }
    const {nodes} = deployment;
    const last = nodes[3];
    const others = nodes.slice(0, 3);
    // Usual traffic, a stream at each machine in turn that is ready.
    const stopping = new Set();
    let isBusy = true;
    const usual = [];
    const traffic = (async () => {
      for (let index = 0; isBusy; index += 1) {
        const ready = nodes.filter(node => !stopping.has(node));
        usual.push(
          runStreamClient({
            ...common,
            nodes: [ready[index % ready.length]],
            retries: 0,
            timeLimitMs: 1_500,
          }),
        );
        await delay(250);
      }
    })();
    await delay(STEADY_MS);
    const restart = async node => {
      stopping.add(node);
      deployment.signal(node, 'SIGTERM');
      if (!(await deployment.waitExit(node, GRACE_MS))) {
        deployment.signal(node, 'SIGKILL');
        await deployment.waitExit(node, 2_000);
      }
      await delay(300);
      deployment.start(node);
      const isReady = await waitReady(deployment, [node], 10_000);
      stopping.delete(node);
      return isReady;
    };
    for (const node of others) {
      if (isTroubled && !(await restart(node))) {
        return 2;
      }
      // The loss of one machine with a disk is to be borne at once.
      await delay(node === others.at(-1) ? GAP_MS : CATCH_UP_MS);
    }
    const clients = Array.from({length: CLIENTS}, async (_, index) => {
      await delay(index * 20);
      const rest = [...others.slice(index % 3), ...others.slice(0, index % 3)];
      return runStreamClient({...common, nodes: [last, ...rest]});
    });
    await delay(1_500);
    const restarted = isTroubled ? restart(last) : undefined;
    await delay(GRACE_MS);
    // New streams that begin at the same time at the other machines.
    const fresh = await Promise.all(
      Array.from({length: CLIENTS}, async (_, index) => {
        await delay(index * 50);
        return runStreamClient({
          ...common,
          nodes: [others[index % 3]],
          retries: 0,
          timeLimitMs: 1_500,
        });
      }),
    );
    const streams = await Promise.all(clients);
    isBusy = false;
    await traffic;
    await Promise.all(usual);
    await restarted;
    const taken = streams.filter(
      ({attempts}) => attempts.length > 1 && attempts[1].from > 0,
    );
    const goesOn = taken.filter(({attempts}) =>
      attempts.slice(1).some(({got}) => got > 0),
    );
    const begun = fresh.filter(({events}) => events.length > 0);
    record.add(
      `${taken.length} of ${CLIENTS} streams taken up again, ${goesOn.length} of them go on; ${begun.length} of ${fresh.length} new streams begin`,
    );
    // The rule speaks of 12 streams or more; fewer show nothing.
    if (taken.length < 12) {
      return isTroubled ? 2 : 0;
    }
    return goesOn.length / taken.length < begun.length / fresh.length / 2
      ? 1
      : 0;
  },
);
