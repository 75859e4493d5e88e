// A machine freezes with streams on it, and the first worker of a newer version
// registers before their clients give them up and go to other machines.
import {delay, putConfig, waitReady} from '../lib-2/deployment.mjs';
import {isTroubled, runCase} from '../lib-2/runCase.mjs';
import {
  createStreamConfig,
  runStreamClient,
  startStreamWorker,
} from '../lib-2/streams.mjs';

const CLIENTS = 16;
const LIMIT_MS = 8_000;
/** For so long the service has had one version. */
const STEADY_MS = 18_000;
const FREEZE_MS = 5_000;
const JOIN_AFTER_MS = 700;

await runCase(
  import.meta.url,
  {machines: 5},
  async ({record, deployment, closing}) => {
    deployment.startAll();
    if (
      (
        await putConfig(
          deployment,
          createStreamConfig(1, {timeout_ms: LIMIT_MS}),
          {record},
        )
      )?.status !== 200
    ) {
      return 2;
    }
    const common = {deployment, record};
    const start = (id, version) =>
      startStreamWorker({...common, id, version, events: 60, slots: 128}).then(
        worker => closing.push(worker),
      );
    await start('i-a', 'v1');
    await start('i-b', 'v1');
    if (!(await waitReady(deployment))) {
      return 2;
    }
    await delay(2_500);
    const {nodes} = deployment;
    const frozen = nodes[4];
    const others = nodes.slice(0, 4);
    // Usual traffic at the other machines.
    const usual = [];
    let isBusy = true;
    const traffic = (async () => {
      for (let index = 0; isBusy; index += 1) {
        usual.push(
          runStreamClient({
            ...common,
            nodes: [others[index % 4]],
            retries: 0,
            timeLimitMs: LIMIT_MS,
          }),
        );
        await delay(120);
      }
    })();
    await delay(STEADY_MS);
    const clients = Array.from({length: CLIENTS}, async (_, index) => {
      await delay(index * 20);
      const rest = [...others.slice(index % 4), ...others.slice(0, index % 4)];
      return runStreamClient({
        ...common,
        nodes: [frozen, ...rest],
        timeLimitMs: LIMIT_MS,
      });
    });
    await delay(1_500);
    if (isTroubled) {
      deployment.signal(frozen, 'SIGSTOP');
    }
    const frozenAt = Date.now();
    await delay(JOIN_AFTER_MS);
    await start('i-c', 'v2');
    // New streams that begin at the same time at the other machines.
    await delay(1_600);
    const fresh = Promise.all(
      Array.from({length: CLIENTS}, async (_, index) => {
        await delay(index * 50);
        return runStreamClient({
          ...common,
          nodes: [others[index % 4]],
          retries: 0,
          timeLimitMs: LIMIT_MS,
        });
      }),
    );
    await delay(Math.max(0, frozenAt + FREEZE_MS - Date.now()));
    if (isTroubled) {
      deployment.signal(frozen, 'SIGCONT');
    }
    isBusy = false;
    await traffic;
    const streams = await Promise.all(clients);
    const begun = await fresh;
    await Promise.all(usual);
    const taken = streams.filter(
      ({attempts}) => attempts.length > 1 && attempts[1].from > 0,
    );
    const goesOn = taken.filter(({attempts}) =>
      attempts.slice(1).some(({got}) => got > 0),
    );
    // The rule counts attempts: each one that takes a stream up, at sound machines.
    const again = streams.flatMap(({attempts}) =>
      attempts.slice(1).filter(({from}) => from > 0),
    );
    const goingOn = again.filter(({got}) => got > 0);
    const beginning = begun.filter(({events}) => events.length > 0);
    record.add(
      `${taken.length} streams taken up again, ${goesOn.length} of them go on in the end`,
    );
    record.add(
      `${again.length} attempts that take a stream up, ${goingOn.length} go on; ${begun.length} new streams, ${beginning.length} begin`,
    );
    if (!isTroubled) {
      return streams.every(({isWhole}) => isWhole) ? 0 : 1;
    }
    if (taken.length < 12) {
      return 2;
    }
    const share = goesOn.length / taken.length;
    const newShare = beginning.length / begun.length;
    return share < newShare / 2 ? 1 : 0;
  },
);
