/**
 * Entry machines have been replaced one by one. Then the channels between the present ones are reset once, all at the
 * same time; new channels work.
 */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createId, runCase, sleep } from '../lib-2/deployment.mjs';

const ZONES = ['kijfhoek', 'delft', 'amsterdam'];
const FORMER_COUNT = 8;
const PRESENT_COUNT = 7;
const WORKER_COUNT = 3;
const SETTLE_MS = 3_000;
const ASK_AFTER_MS = 25_000;
/** A requester's first attempt and its 4 retries, which reach other nodes. */
const ATTEMPT_COUNT = 5;
const DEADLINE_MS = 3_000;
const RETRY_AFTER_MS = 1_000;
const LOGGED = ['owner suspected', 'nodes asked', 'ownership', 'owner followed'];

function getZone(_value, index) {
  return { zone: ZONES[index % ZONES.length] };
}

/** Asks for a submission as a requester does, at one node after another. */
async function askForState(deployment, nodes, id) {
  const statuses = [];
  for (const node of nodes.slice(0, ATTEMPT_COUNT)) {
    const answer = await deployment.ask(node, 'GET', `/watch/${id}`, undefined, DEADLINE_MS);
    if (answer.status === 200) return undefined;
    statuses.push(`${answer.status} from ${node.name}`);
    await sleep(RETRY_AFTER_MS);
  }
  return statuses;
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (deployment, isTroubled) => {
    const former = Array.from({ length: FORMER_COUNT }, getZone);
    const present = Array.from({ length: PRESENT_COUNT }, getZone);
    await deployment.prepareNodes([...former, ...present]);
    await deployment.startPrepared(deployment.nodes.slice(0, FORMER_COUNT));
    for (let count = 0; count < WORKER_COUNT; count += 1)
      await deployment.startWorker({ zone: 'delft' });
    // The new ones come first, then the former ones are stopped in turn, as planned.
    const nodes = deployment.nodes.slice(FORMER_COUNT);
    await deployment.startPrepared(nodes);
    for (const node of deployment.nodes.slice(0, FORMER_COUNT)) {
      const { process: child } = node;
      const ended = new Promise((resolve) => {
        child.once('exit', resolve);
      });
      child.kill('SIGTERM');
      deployment.record('node replaced', { node: node.name });
      await ended;
    }
    await sleep(2 * SETTLE_MS);
    const id = createId();
    const step = { count: 2, cpu: 2_000, 'mem-mb': 1_024, 'est-ms': 1_000, 'long-running': true };
    const body = { spec: '{"lasts":true}', steps: [step] };
    const { status } = await deployment.ask(nodes[0], 'POST', `/watch/${id}`, body);
    if (status !== 200) throw new Error(`submission answered with ${status}`);
    await sleep(SETTLE_MS);
    if (isTroubled) {
      deployment.resetPeerChannels();
      deployment.record('channels between the nodes are reset', {});
    }
    await sleep(ASK_AFTER_MS);
    const owner = await deployment.findOwner();
    deployment.record('owner', { node: owner?.name });
    const others = nodes.filter((node) => node !== owner);
    const ready = [];
    for (const node of others) ready.push([node.name, await deployment.isReady(node)]);
    deployment.record('ready for requesters', { ready });
    const statuses = await askForState(deployment, others, id);
    deployment.recordLogs(LOGGED);
    if (statuses === undefined) return undefined;
    return `submission ${id} gets no answer: ${statuses.join(', ')}`;
  },
  { isTranslated: true },
);
