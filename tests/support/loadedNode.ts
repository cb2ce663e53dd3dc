/** A real node process that owns a fleet of its own, and an ordinary caller. */

import { request } from 'node:http';
import { join } from 'node:path';
import { build } from 'esbuild';
import { Fleet } from '../../bench/fleet/fleet';
import type { NodeOptions } from '../../bench/fleet/nodeProcess';
import { NO_DEMAND } from '../../src/work/types';

const ANSWER_TIMEOUT_MS = 60_000;
const RETRY_MS = 200;
const ACCEPTED = 200;
const TASK_CPU_MILLIS = 700;
const TASK_MEMORY_MB = 64;

/** Tasks of the fleet end within no test. */
const TASK_WORK_MS = 600_000;

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Size of the fleet that a node owns; one that is idle has no submissions. */
export interface FleetLoad {
  readonly targetCount: number;
  readonly submissionCount: number;
  readonly tasksPerSubmission: number;
}

/** A node that owns next to nothing. */
export const IDLE_FLEET: FleetLoad = {
  ...{ targetCount: 1, submissionCount: 0, tasksPerSubmission: 0 },
};

/**
 * Builds the program of a node.
 * @param directory - where it goes
 * @returns path of the program
 */
export async function buildNodeProgram(directory: string): Promise<string> {
  const program = join(directory, 'node.js');
  await build({
    ...{ entryPoints: ['platform/main.ts'], outfile: program },
    ...{ bundle: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'warning' },
    external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
  });
  return program;
}

/** One node with its stand-ins. */
export class LoadedNode {
  #fleet: Fleet;

  #load: FleetLoad;

  #nextSubmission = 1;

  /**
   * @param program - program of the node
   * @param directory - where its settings go
   * @param node - flags and settings
   * @param load - fleet that the node owns
   */
  constructor(
    program: string,
    directory: string,
    node: Pick<NodeOptions, 'flags' | 'settings'>,
    load: FleetLoad,
  ) {
    this.#load = load;
    const { targetCount } = load;
    const demand = { ...NO_DEMAND, cpuMillis: TASK_CPU_MILLIS, memoryMb: TASK_MEMORY_MB };
    this.#fleet = new Fleet(
      { ...{ seed: 1, nodeCount: 1, targetCount, directory, program }, node },
      {
        getKind: () => 'urgent',
        getDemand: () => demand,
        getTeam: () => 'team-0',
        getPlan: () => ({ workMs: TASK_WORK_MS, how: 'done', isGang: false }),
      },
    );
  }

  get pid(): number | undefined {
    return this.#fleet.nodes[0]?.pid;
  }

  get port(): number {
    return this.#fleet.nodes[0]?.frontPort ?? 0;
  }

  /** Number of processes that ended by themselves. */
  get exitCount(): number {
    return this.#fleet.nodes[0]?.exitCount ?? 0;
  }

  /** Number of tasks that run on the targets. */
  get runCount(): number {
    return this.#fleet.workers.reduce((sum, { target }) => sum + target.runs.size, 0);
  }

  /**
   * Starts the node, waits until it accepts submissions, and hands in the work of its fleet.
   * @param minRunCount - number of tasks that have to run
   */
  async start(minRunCount: number): Promise<void> {
    await this.#fleet.start();
    const { submissionCount, tasksPerSubmission } = this.#load;
    const submitNext = async (count: number): Promise<void> => {
      if (count === 0) return;
      const status = await this.submitUntilAccepted(tasksPerSubmission);
      if (status !== ACCEPTED) throw new Error(`submission refused with ${status}`);
      await submitNext(count - 1);
    };
    await submitNext(submissionCount);
    const endMs = performance.now() + ANSWER_TIMEOUT_MS;
    const waitForRuns = async (): Promise<void> => {
      if (this.runCount >= minRunCount) return;
      if (performance.now() > endMs) throw new Error(`only ${this.runCount} tasks run`);
      await sleep(RETRY_MS);
      await waitForRuns();
    };
    await waitForRuns();
  }

  /**
   * Hands a submission in until it is accepted, as callers do.
   * @param taskCount - number of its tasks
   * @returns the last status, 0 without a response
   */
  async submitUntilAccepted(taskCount = 1): Promise<number> {
    const id = this.#nextSubmission.toString(16).padStart(16, '0');
    this.#nextSubmission += 1;
    const endMs = performance.now() + ANSWER_TIMEOUT_MS;
    const attempt = async (): Promise<number> => {
      const status = await this.#submit(id, taskCount);
      if (status === ACCEPTED || performance.now() > endMs) return status;
      await sleep(RETRY_MS);
      return attempt();
    };
    return attempt();
  }

  /** Ends the node and its stand-ins. */
  close(): void {
    this.#fleet.close();
  }

  #submit(id: string, count: number): Promise<number> {
    const demand = { cpu: TASK_CPU_MILLIS, 'mem-mb': TASK_MEMORY_MB };
    const body = { spec: 'text', steps: [{ count, ...demand, 'est-ms': 10 }] };
    return new Promise((resolve) => {
      const sent = request(
        {
          ...{ host: '127.0.0.1', port: this.port, method: 'POST', path: `/urgent/${id}` },
          ...{ agent: false, timeout: ANSWER_TIMEOUT_MS / 4 },
          headers: { host: 'urgent.example', authorization: 'Bearer key-team-0' },
        },
        (response) => {
          response.resume();
          response.on('end', () => resolve(response.statusCode ?? 0));
          response.on('error', () => resolve(0));
        },
      );
      sent.on('timeout', () => sent.destroy());
      sent.on('error', () => resolve(0));
      sent.end(JSON.stringify(body));
    });
  }
}
