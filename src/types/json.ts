/** Parsing of JSON that may be malformed. */

/**
 * Parses JSON.
 * @param text - what came
 * @returns the value, or undefined when the text is no JSON
 */
export function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
