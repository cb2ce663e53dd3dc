/** A crowd of clients in a process of its own. */

import type { CrowdTraffic } from './clientCrowd';
import { buildTestProgram, TestProgram } from './testProgram';

/** First message to the process; the next one ends the crowd. */
export interface CrowdRequest {
  readonly traffic: CrowdTraffic;
  readonly port: number;
}

/**
 * Builds the program of a crowd.
 * @param directory - where it goes
 * @returns path of the program
 */
export function buildCrowdProgram(directory: string): Promise<string> {
  return buildTestProgram('tests/support/clientCrowdProgram.ts', directory);
}

/** Runs a crowd until it is closed. */
export class CrowdProcess {
  #program: TestProgram;

  #request: CrowdRequest;

  /**
   * @param program - program of a crowd
   * @param traffic - what each connection sends
   * @param port - port of the listener on loopback
   */
  constructor(program: string, traffic: CrowdTraffic, port: number) {
    this.#program = new TestProgram(program);
    this.#request = { traffic, port };
  }

  /** Opens all connections and begins to send. */
  async start(): Promise<void> {
    await this.#program.ask(this.#request);
  }

  /**
   * Closes all connections.
   * @returns number of connections that were opened, the first ones included
   */
  async close(): Promise<number> {
    return Number(await this.#program.ask('close'));
  }

  /** Ends the process. */
  kill(): void {
    this.#program.kill();
  }
}
