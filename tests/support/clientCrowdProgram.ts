/** Program of a process that is a crowd of clients. */

import { ClientCrowd } from './clientCrowd';
import type { CrowdRequest } from './crowdProcess';
import { answerMessages } from './programMessages';

let crowd: ClientCrowd | undefined;

answerMessages(async (message) => {
  if (crowd !== undefined) {
    crowd.close();
    return crowd.openedCount;
  }
  const { traffic, port } = message as CrowdRequest;
  crowd = new ClientCrowd(traffic, port);
  await crowd.start();
  return 0;
});
