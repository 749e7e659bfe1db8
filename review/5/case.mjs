/**
 * A request crashes each runner that begins to run it, and comes again from time to time.
 * Once the instances refuse it, they are restarted one after the other, and each of them
 * sends it to runners again.
 */
import {
  Runner,
  Store,
  System,
  createAttemptId,
  createConfiguration,
  createRoute,
  elapsedS,
  isTroubled,
  plainService,
  runCase,
  send,
  sleep,
} from '../lib/kit.mjs';

const zones = ['a', 'b', 'c'];
const runnerZones = ['a', 'b', 'c', 'a'];
const poisonPath = '/guide/poison';
const downMs = 2_500;
/** A registration ends after three heartbeats of 1,200 ms. */
const registrationMs = 3_600;
const stabilityWindowMs = 3_000;
/** An instance is in touch this long after its start, with a margin. */
const untilInTouchMs = stabilityWindowMs + 1_500;
const poisonIntervalMs = 1_500;
const poisonsPerInstance = 3;
const allowedRetries = 3;
const readerCount = 3;

await runCase(import.meta.url, async record => {
  const store = new Store();
  const reached = [];
  let startCount = 0;
  const startRunner = async zone => {
    startCount += 1;
    const runner = await new Runner({
      ...{ id: `i-${startCount}`, service: 'app', zone },
      run: async (self, request, response) => {
        const id = request.headers['x-medlarlever-attempt-id'];
        if (request.url === poisonPath) {
          reached.push({ id, atS: elapsedS() });
          record.write('runner', self.id, 'begins', id, 'and crashes');
          void replace(self);
          await self.crash();
          return;
        }
        await sleep(40);
        if (!response.destroyed) self.answer(request, response, 'entry');
      },
    }).start();
    store.put('servers', runner.id, runner.registration);
  };
  /** The runner is back after some seconds, as a new incarnation. */
  const replace = async ({ id, zone }) => {
    await sleep(downMs);
    await startRunner(zone);
    await sleep(registrationMs - downMs);
    store.remove('servers', id);
  };
  for (const zone of runnerZones) await startRunner(zone);
  const route = createRoute('/guide/', 'idempotent', 'app');
  const services = [plainService('app')];
  store.put('op', 'config', createConfiguration(7, [route], services));
  const system = new System({ store, zones });
  await system.start();
  await sleep(4_000);

  let isOver = false;
  let failedReads = 0;
  const read = async () => {
    for (let i = 0; !isOver; i += 1) {
      const instance = system.instances[i % zones.length];
      const id = createAttemptId();
      const { status } = await send(instance, {
        ...{ path: `/guide/${id}`, id },
        headers: { 'x-medlarlever-deadline-ms': '3000' },
      });
      if (status !== 200) failedReads += 1;
      await sleep(200);
    }
  };
  const reading = Array.from({ length: readerCount }, read);
  /** Times of the requests that were sent by instances in touch, by id. */
  const sentInTouch = new Map();
  const sendPoison = async instance => {
    const id = createAttemptId();
    sentInTouch.set(id, elapsedS());
    const { status, error } = await send(instance, {
      ...{ path: poisonPath, id },
      headers: { 'x-medlarlever-deadline-ms': '3000' },
    });
    record.write('poison', id, 'to', instance.name, 'got', status ?? error);
    await sleep(poisonIntervalMs);
  };
  for (const instance of [...system.instances, ...system.instances])
    await sendPoison(instance);
  await sleep(stabilityWindowMs);
  for (const instance of system.instances) {
    if (isTroubled) {
      record.write('SIGTERM to', instance.name);
      await system.stop(instance, 'SIGTERM');
      system.spawn(instance);
      await system.waitUntilReady([instance]);
      record.write(instance.name, 'has started again');
    }
    await sleep(untilInTouchMs);
    for (let i = 0; i < poisonsPerInstance; i += 1) await sendPoison(instance);
    await sleep(downMs);
  }
  isOver = true;
  await Promise.all(reading);
  const third = reached[2];
  const later = reached.filter(
    ({ id, atS }) =>
      third !== undefined &&
      sentInTouch.has(id) &&
      atS > third.atS + stabilityWindowMs / 1_000,
  );
  record.write('reads of others that failed:', failedReads);
  record.write('reached runners in all:', reached.length);
  const retryCount = new Set(later.map(({ id }) => id)).size;
  record.write(
    ...['later than the window after the third:', later.length, 'crashes by'],
    ...[retryCount, 'retries'],
  );
  return retryCount > allowedRetries;
});
