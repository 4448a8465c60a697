/** Steps about crowds of clients that do not stay inside the limits. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { runCrowd } from '../support/crowd.js';
import { CrowdDeployment, MAXIMUM_BODY_BYTES, longestHead } from '../support/crowd-deployment.js';
import { createCrowd } from '../support/crowd-forms.js';

interface World {
  crowdDeployment: CrowdDeployment | undefined;
}

After(async function (this: World) {
  const { crowdDeployment } = this;
  await crowdDeployment?.close();
});

async function start(world: World, deployment: CrowdDeployment): Promise<void> {
  world.crowdDeployment = deployment;
  await deployment.start();
  assert.ok(
    deployment.processes.every(({ isPlanned }) => isPlanned),
    'the plan of the memory fits the limit in the settings',
  );
}

Given('a gateway and replicas with little memory', async function (this: World) {
  await start(this, new CrowdDeployment());
});

Given(
  'a gateway that the system lets open {int} files',
  async function (this: World, files: number) {
    await start(this, new CrowdDeployment({ openFiles: files, descriptors: files }));
  },
);

When('a crowd comes and leaves: {}', async function (this: World, form: string) {
  const { gatewayHost, replicaHost } = this.crowdDeployment!;
  await runCrowd(createCrowd(form, { gatewayHost, replicaHost }));
});

Then('an ordinary request is answered', async function (this: World) {
  await this.crowdDeployment!.assertAnswered();
});

Then(
  'a request of the largest size in chunks of {int} bytes is served whole',
  async function (this: World, chunkBytes: number) {
    await this.crowdDeployment!.assertAnswered({
      body: Buffer.alloc(MAXIMUM_BODY_BYTES, 'abcdefghijk'),
      chunkBytes,
    });
  },
);

Then('a request with the longest head is served', async function (this: World) {
  await this.crowdDeployment!.assertAnswered({ headers: longestHead() });
});

Then(
  'all processes live, within the memory and the descriptors of their settings',
  function (this: World) {
    const excesses = this.crowdDeployment!.processes.flatMap((each) => {
      each.sample();
      const { name, end, fatalError, peakMegabytes, peakDescriptors, limits } = each;
      const figures = `${peakMegabytes} MB, ${peakDescriptors} descriptors`;
      const isExceeded =
        peakMegabytes > limits.memoryMegabytes || peakDescriptors > limits.descriptors;
      if (end !== undefined) {
        return [`${name} ended with ${end.code ?? end.signal} at ${figures}: ${fatalError}`];
      }
      return isExceeded ? [`${name} had ${figures}`] : [];
    });
    assert.deepEqual(excesses, []);
  },
);
