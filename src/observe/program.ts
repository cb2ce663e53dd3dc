/** How every program of the project starts. */

import * as E from 'fp-ts/Either';

/** Exit code when the settings cannot be used. */
const EXIT_BAD_SETTINGS = 2;

/**
 * Starts a program. Settings that cannot be used, and a failure of the start, end it with one line.
 * @param name - the program
 * @param settings - its settings, or what is wrong with them
 * @param run - starts it
 */
export function startProgram<T>(
  name: string,
  settings: E.Either<string, T>,
  run: (settings: T) => Promise<void>,
): void {
  // Node leaves io_uring off only while this is not set to 1.
  process.env.UV_USE_IO_URING = '0';
  if (E.isLeft(settings)) {
    process.stderr.write(`${name}: ${settings.left}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  run(settings.right).catch((error: unknown) => {
    process.stderr.write(`${name}: ${String(error)}\n`);
    process.exit(1);
  });
}
