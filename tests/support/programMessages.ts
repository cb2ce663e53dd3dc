/** What a program answers to the test that has started it; see testProgram.ts. */

/** Answer of a program to one message. */
export type Answer = { readonly value: unknown } | { readonly error: string };

/**
 * Answers the messages of the test; the process ends with it. Called by the program.
 * @param answer - computes the answer to a message
 */
export function answerMessages(answer: (message: unknown) => unknown): void {
  const report = (message: Answer) => process.send?.(message);
  process.on('message', (message) => {
    (async () => answer(message))().then(
      (value) => report({ value }),
      (error: unknown) => report({ error: String(error) }),
    );
  });
  process.once('disconnect', () => process.exit(0));
}
