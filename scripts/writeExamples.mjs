// Writes example settings files for two deployments of 12 VMs each.
import {mkdirSync, writeFileSync} from 'node:fs';

const VM_COUNT = 12;
const PEER_PORT = 7000;
const HTTP_PORT = 8080;

const DEPLOYMENTS = [
  {
    folder: 'examples/threeDomains',
    region: 'is-south',
    domains: ['is-south-a', 'is-south-b', 'is-south-c'],
    network: '10.20.0',
    controls: 3,
  },
  {
    folder: 'examples/fourDomains',
    region: 'nl-west',
    domains: ['nl-west-a', 'nl-west-b', 'nl-west-c', 'nl-west-d'],
    network: '10.30.0',
    controls: 5,
  },
];

function formatMembers({network, controls}) {
  return Array.from({length: controls}, (_, index) =>
    [
      '[[control]]',
      `node = "control-${index + 1}"`,
      `peer = { host = "${network}.${101 + index}", port = ${PEER_PORT} }`,
      '',
    ].join('\n'),
  ).join('\n');
}

function formatNodeSettings({region, domains}, node, index, host) {
  return [
    `node = "${node}"`,
    `region = "${region}"`,
    `domain = "${domains[index % domains.length]}"`,
    `peer = { host = "${host}", port = ${PEER_PORT} }`,
    `http = { host = "${host}", port = ${HTTP_PORT} }`,
  ];
}

function writeEntry(deployment, index) {
  const node = `entry-${index + 1}`;
  const host = `${deployment.network}.${1 + index}`;
  const lines = [
    ...formatNodeSettings(deployment, node, index, host),
    'operator_keys_file = "/etc/gentianshunt/operators.toml"',
    '',
    '[limits]',
    'max_body_bytes = 4194304',
    '',
    formatMembers(deployment),
  ];
  writeFileSync(`${deployment.folder}/${node}.toml`, lines.join('\n'));
}

function writeControl(deployment, index) {
  const node = `control-${index + 1}`;
  const host = `${deployment.network}.${101 + index}`;
  const lines = [
    ...formatNodeSettings(deployment, node, index, host),
    'data_folder = "/var/lib/gentianshunt/control"',
    '',
    formatMembers(deployment),
  ];
  writeFileSync(`${deployment.folder}/${node}.toml`, lines.join('\n'));
}

for (const deployment of DEPLOYMENTS) {
  mkdirSync(deployment.folder, {recursive: true});
  for (let index = 0; index < VM_COUNT; index += 1) {
    writeEntry(deployment, index);
  }
  for (let index = 0; index < deployment.controls; index += 1) {
    writeControl(deployment, index);
  }
}
