/** Program of a process that watches another one. */

import { ProcessWatch } from './processWatch';
import { answerMessages } from './programMessages';
import type { WatchRequest } from './watchProcess';

let watch: ProcessWatch | undefined;

answerMessages((message) => {
  if (watch !== undefined) {
    watch.stop();
    return watch.figures;
  }
  const { pid, port } = message as WatchRequest;
  watch = new ProcessWatch(pid, port);
  return undefined;
});
