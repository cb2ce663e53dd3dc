/** Operator and submitter calls that the demo and the benchmarks send to the gates. */

import { setTimeout as sleep } from 'node:timers/promises';
import { getDigest } from '../src/config/keys';
import type { JobSummary } from '../src/jobs/types';
import type { Deployment } from './deployment';

const POLL_INTERVAL_MS = 100;
const MAX_POLLS = 300;
const CALL_TIMEOUT_MS = 8_000;

/** Operator token of demo deployments. */
export const OPERATOR_TOKEN = 'demo-operator';

/** Response of a gate. */
export interface GateReply {
  readonly status: number;
  readonly value: unknown;
}

/** Fields of a scheduler's state dump that the demo reads. */
interface SchedulerDump {
  readonly status: { readonly freeSlots: number; readonly activeShards: readonly string[] };
}

/**
 * Gets the bearer token of a demo team.
 * @param teamId - the team
 * @returns the API key, as `keyId:secret`
 */
export function getTeamToken(teamId: string): string {
  return `key-${teamId}:secret-${teamId}`;
}

/**
 * Builds a configuration sheet with one key and one queue per team. The first two teams have larger shares and limits.
 * @param teamIds - the teams
 * @param dataCentreIds - the data centres, all in service
 * @returns the sheet
 */
export function createDemoSheet(teamIds: readonly string[], dataCentreIds: readonly string[]) {
  return {
    teams: teamIds.map((teamId, index) => ({
      teamId,
      shareWeight: index < 2 ? 4 : 1,
      limitSlots: index < 2 ? 160 : 80,
    })),
    keys: teamIds.map((teamId) => ({
      keyId: `key-${teamId}`,
      teamId,
      secretDigest: getDigest(`secret-${teamId}`),
    })),
    queues: teamIds.map((teamId) => ({
      queueId: teamId,
      access: { kind: 'team', teamId },
      urgency: 'normal',
    })),
    dataCentres: dataCentreIds.map((dataCentreId) => ({
      dataCentreId,
      region: 'west',
      inService: true,
    })),
    shardsPerDataCentre: 3,
  };
}

/** Client for the gates of one deployment. */
export class OperatorClient {
  #deployment: Deployment;

  /**
   * @param deployment - the deployment to call
   */
  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /**
   * Calls the first gate.
   * @param method - HTTP method
   * @param path - absolute request path
   * @param token - bearer token
   * @param body - value to serialize, if any
   * @returns the status and the parsed response; status 0 when there was no response
   */
  async call(
    method: 'GET' | 'POST',
    path: string,
    token: string,
    body?: unknown,
  ): Promise<GateReply> {
    const result = await this.#deployment.httpClient.perform({
      method,
      address: this.#deployment.gateAddresses[0] ?? '',
      path,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? '' : JSON.stringify(body),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (result.kind !== 'response') return { status: 0, value: result.detail };
    return { status: result.status, value: JSON.parse(result.body.toString('utf8')) };
  }

  /**
   * Applies the first sheet of a new deployment, retrying until it is accepted.
   * @param sheet - the sheet
   * @throws Error when it is not accepted in time
   */
  async applySheet(sheet: unknown): Promise<void> {
    const change = { kind: 'applySheet', basedOnVersion: 0, sheet };
    await OperatorClient.#pollUntil(
      'the configuration sheet was not accepted in time',
      async () => {
        const path = '/v1/operator/config/changes';
        const reply = await this.call('POST', path, OPERATOR_TOKEN, change);
        return reply.status === 200;
      },
    );
  }

  /**
   * Waits until the schedulers together can start work on a number of slots.
   * @param slotCount - expected number of free slots
   * @throws Error when the number is not reached in time
   */
  async waitForSlots(slotCount: number): Promise<void> {
    await OperatorClient.#pollUntil(
      'not all targets were owned in time',
      async () => (await this.getFreeSlots()) >= slotCount,
    );
  }

  /** @returns the number of free slots on which a scheduler can currently start work */
  async getFreeSlots(): Promise<number> {
    const schedulers = await this.#dumpSchedulers();
    return schedulers.reduce((sum, scheduler) => sum + scheduler.status.freeSlots, 0);
  }

  /** @returns the number of target shards on which a scheduler can currently start work */
  async getActiveShardCount(): Promise<number> {
    const schedulers = await this.#dumpSchedulers();
    const shardIds = schedulers.flatMap((scheduler) => scheduler.status.activeShards);
    return new Set(shardIds.filter((shardId) => shardId.startsWith('targets.'))).size;
  }

  async #dumpSchedulers(): Promise<readonly SchedulerDump[]> {
    const state = await this.call('GET', '/v1/operator/state', OPERATOR_TOKEN);
    const { schedulers = [] } = state.value as { schedulers?: readonly SchedulerDump[] };
    return schedulers;
  }

  /**
   * Lists a team's jobs.
   * @param teamId - the team
   * @returns summaries of the jobs, empty when the call fails
   */
  async listJobs(teamId: string): Promise<readonly JobSummary[]> {
    const reply = await this.call('GET', '/v1/jobs', getTeamToken(teamId));
    return reply.status === 200 ? (reply.value as readonly JobSummary[]) : [];
  }

  static async #pollUntil(message: string, isDone: () => Promise<boolean>): Promise<void> {
    for (let attempt = 0; attempt < MAX_POLLS; attempt += 1) {
      if (await isDone()) return;
      await sleep(POLL_INTERVAL_MS);
    }
    throw new Error(message);
  }
}
