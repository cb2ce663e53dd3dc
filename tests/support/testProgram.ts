/**
 * Programs that tests run in processes of their own, as they would keep the process of a test from answering as the
 * stand-in of the store or of a target.
 */

import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { basename, join } from 'node:path';
import { build } from 'esbuild';
import type { Answer } from './programMessages';

/**
 * Builds a program.
 * @param entryPoint - path of its source
 * @param directory - where it goes
 * @returns path of the program
 */
export async function buildTestProgram(entryPoint: string, directory: string): Promise<string> {
  const program = join(directory, `${basename(entryPoint, '.ts')}.js`);
  await build({
    ...{ entryPoints: [entryPoint], outfile: program },
    ...{ bundle: true, platform: 'node', target: 'node20', format: 'cjs', logLevel: 'warning' },
  });
  return program;
}

/** A process that runs a program. */
export class TestProgram {
  #child: ChildProcess;

  /**
   * @param program - path of the program
   */
  constructor(program: string) {
    this.#child = fork(program, [], { serialization: 'advanced', execArgv: [] });
  }

  /**
   * Sends a message; one at a time.
   * @param message - the message
   * @returns the answer
   * @throws Error when the program could not answer or has ended
   */
  async ask(message: unknown): Promise<unknown> {
    const ended = once(this.#child, 'exit').then(([code]: unknown[]): never => {
      throw new Error(`the program has ended with exit status ${String(code)}`);
    });
    const answered = once(this.#child, 'message').then(([answer]) => answer as Answer);
    this.#child.send(message as object);
    const answer = await Promise.race([answered, ended]);
    if ('error' in answer) throw new Error(`the program has failed: ${answer.error}`);
    return answer.value;
  }

  /** Ends the process. */
  kill(): void {
    this.#child.kill('SIGKILL');
  }
}
