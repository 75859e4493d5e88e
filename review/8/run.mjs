// A machine loses power with streams on it, and the first worker of a newer version
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
/** How long the machine has no power; it answers nothing meanwhile. */
const DARK_MS = 3_500;
const JOIN_AFTER_MS = 700;

await runCase(
  import.meta.url,
  {machines: 7},
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
    const lost = nodes[6];
    const others = nodes.slice(0, 6);
    // Usual traffic at the other machines.
    const usual = [];
    let isBusy = true;
    const traffic = (async () => {
      for (let index = 0; isBusy; index += 1) {
        usual.push(
          runStreamClient({
            ...common,
            nodes: [others[index % 6]],
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
      const rest = [...others.slice(index % 6), ...others.slice(0, index % 6)];
      return runStreamClient({
        ...common,
        nodes: [lost, ...rest],
        timeLimitMs: LIMIT_MS,
      });
    });
    await delay(1_500);
    if (isTroubled) {
      deployment.signal(lost, 'SIGSTOP');
    }
    const darkAt = Date.now();
    await delay(JOIN_AFTER_MS);
    await start('i-c', 'v2');
    // New streams that begin at the same time at the other machines.
    await delay(1_600);
    const fresh = Promise.all(
      Array.from({length: CLIENTS}, async (_, index) => {
        await delay(index * 50);
        return runStreamClient({
          ...common,
          nodes: [others[index % 6]],
          retries: 0,
          timeLimitMs: LIMIT_MS,
        });
      }),
    );
    await delay(Math.max(0, darkAt + DARK_MS - Date.now()));
    if (isTroubled) {
      deployment.signal(lost, 'SIGKILL');
      await deployment.waitExit(lost, 2_000);
      deployment.start(lost);
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
    // The rule speaks of 12 streams or more; fewer show nothing.
    if (taken.length < 12) {
      return isTroubled ? 2 : 0;
    }
    const share = goesOn.length / taken.length;
    const newShare = beginning.length / begun.length;
    return share < newShare / 2 ? 1 : 0;
  },
);
