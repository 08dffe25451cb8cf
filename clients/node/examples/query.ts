// Sends one RPC to a front end of a running demo: npm run build && node dist/examples/query.js /tmp/demo/front-0.sock
import { Client, Denied } from "../src/client.js";

const client = new Client({ sockets: process.argv.slice(2), repeats: 3, methods: { query: { idempotent: true } } });
try {
  console.log(await client.call({ method: "query", function: "seats", payload: { train: 7 }, timeMs: 2000 }));
} catch (err) {
  console.error(err instanceof Denied ? `try again in ${err.comeBackMs ?? 0} ms` : err);
  process.exitCode = 1;
} finally {
  await client.close();
}
