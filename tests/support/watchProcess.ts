/**
 * Watches a process from another one. The socket tables of the machine have tens of thousands of rows after a crowd has
 * come and gone, so that reading them takes long.
 */

import type { WatchFigures } from './processWatch';
import { buildTestProgram, TestProgram } from './testProgram';

/** First message to the process; the next one ends the watch. */
export interface WatchRequest {
  readonly pid: number;
  readonly port: number;
}

/**
 * Builds the program of a watch.
 * @param directory - where it goes
 * @returns path of the program
 */
export function buildWatchProgram(directory: string): Promise<string> {
  return buildTestProgram('tests/support/processWatchProgram.ts', directory);
}

/** Runs a watch until it is stopped. */
export class WatchProcess {
  #program: TestProgram;

  #request: WatchRequest;

  /**
   * @param program - program of a watch
   * @param pid - the process to watch
   * @param port - its port that clients connect to
   */
  constructor(program: string, pid: number, port: number) {
    this.#program = new TestProgram(program);
    this.#request = { pid, port };
  }

  /** Takes the first sample. */
  async start(): Promise<void> {
    await this.#program.ask(this.#request);
  }

  /**
   * Takes the last sample.
   * @returns the peaks
   */
  async stop(): Promise<WatchFigures> {
    return (await this.#program.ask('stop')) as WatchFigures;
  }

  /** Ends the process. */
  kill(): void {
    this.#program.kill();
  }
}
