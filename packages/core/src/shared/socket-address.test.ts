/** Tests of the addresses that are accepted from other processes. */
import test from 'ava';

import {
  ipv4SocketAddressSchema,
  socketAddressSchema,
} from './socket-address.js';

const numericAddresses = ['127.0.0.1:1', '10.2.0.40:65535', '223.1.1.1:80'];
const namedAddresses = ['edge-b.example:7000', 'localhost:1', 'b2:9'];

const unusableAddresses = [
  '',
  ':',
  ':80',
  '10.0.0.1',
  '10.0.0.1:',
  '10.0.0.1:0',
  '10.0.0.1:080',
  '10.0.0.1:65536',
  '10.0.0.1:99999999',
  '10.0.0.1:-1',
  '10.0.0.1:1e3',
  '10.0.0.1:80\n',
  '10.0.0.1:80/',
  '10.0.0.1 :80',
  '010.0.0.1:80',
  '256.0.0.1:80',
  '1.2.3:80',
  '1:80',
  '0x7f.1:80',
  '0.0.0.0:80',
  '224.0.0.1:80',
  '255.255.255.255:80',
  '[::1]:80',
  '::1:80',
  'a b:80',
  'a@b:80',
  'a#b:80',
  'a/b:80',
  '-a:80',
  'a-:80',
  'a..b:80',
  'ä:80',
  '１:80',
  `${'a.'.repeat(200)}a:80`,
  `${'a'.repeat(1_000_000)}!:80`,
];

test('an address without a host or port to connect to is refused before it is used', t => {
  for (const address of unusableAddresses) {
    t.false(socketAddressSchema.safeParse(address).success, address);
    t.false(ipv4SocketAddressSchema.safeParse(address).success, address);
  }
});

test('accepted addresses can be used in a URL as they are', t => {
  for (const address of [...numericAddresses, ...namedAddresses]) {
    t.true(socketAddressSchema.safeParse(address).success, address);
    const { hostname, port } = new URL(`http://${address}`);
    t.is(`${hostname}:${port || '80'}`, address);
  }
  for (const address of numericAddresses)
    t.true(ipv4SocketAddressSchema.safeParse(address).success, address);
  for (const address of namedAddresses)
    t.false(ipv4SocketAddressSchema.safeParse(address).success, address);
});
