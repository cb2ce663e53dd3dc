/** Parsing of untrusted JSON. */

/**
 * Parses JSON without throwing.
 * @param text - text to parse
 * @returns the value, or undefined when the text is not valid JSON
 */
export function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
