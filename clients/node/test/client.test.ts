import assert from "node:assert/strict";
import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type Server, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { Aborted, Client, Denied, Lost, Refused, Unsent } from "../src/client.js";

// A scripted front end: what answers is given by each test.
type Ask = { id: number; method: string; params: Record<string, unknown> };
const dir = mkdtempSync(join(tmpdir(), "ml"));
const servers: Server[] = [];
function front(name: string, on: (ask: Ask, socket: Socket) => void): Promise<{ path: string; server: Server; sockets: Set<Socket> }> {
  const path = join(dir, name + ".sock"), sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    let rest = "";
    socket.on("error", () => {});
    socket.on("data", (data) => {
      const lines = (rest + data.toString()).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) for (const ask of [JSON.parse(line)].flat()) on(ask as Ask, socket);
    });
  });
  servers.push(server);
  return new Promise((resolve) => server.listen(path, () => resolve({ path, server, sockets })));
}
const result = (s: Socket, id: number, value: unknown) => s.write(JSON.stringify({ jsonrpc: "2.0", id, result: value }) + "\n");
const error = (s: Socket, id: number | null, code: number, data?: unknown) =>
  s.write(JSON.stringify({ jsonrpc: "2.0", id, error: { code, message: "no", data } }) + "\n");
const random = () => 0.5;

after(() => { for (const s of servers) s.close(); rmSync(dir, { recursive: true }); });

test("answers in any order, in any pieces", async () => {
  const asks: Ask[] = [];
  const f = await front("order", (ask, s) => {
    asks.push(ask);
    if (asks.length < 2) return;
    const text = asks.reverse().map((a) => JSON.stringify({ jsonrpc: "2.0", id: a.id, result: a.params["function"] + "é" }) + "\n").join("");
    for (const byte of Buffer.from(text)) s.write(Buffer.from([byte]));
  });
  const c = new Client({ sockets: [f.path] });
  assert.deepEqual(await Promise.all([c.call({ method: "m", function: "a" }), c.call({ method: "m", function: "b" })]), ["aé", "bé"]);
  await c.close();
});

test("a denied RPC is repeated once its time to come back is over; an aborted one only where that is harmless", async () => {
  const seen: string[] = [];
  const f = await front("repeat", (ask, s) => {
    seen.push(`${ask.method} ${ask.params["repeat"] ?? false}`);
    if (ask.params["repeat"]) result(s, ask.id, "ok");
    else error(s, ask.id, ask.method === "denied" ? -32001 : -32002, { come_back_ms: 30, cause: "w" });
  });
  const c = new Client({ sockets: [f.path], repeats: 1, backOffMs: 1, random, methods: { idempotent: { idempotent: true }, tokened: { windowMs: 1000 }, late: { windowMs: 1 } } });
  const began = Date.now();
  assert.equal(await c.call({ method: "denied", function: "f" }), "ok");
  assert.ok(Date.now() - began >= 29);
  assert.equal(await c.call({ method: "idempotent", function: "f" }), "ok");
  assert.equal(await c.call({ method: "tokened", function: "f", token: "t" }), "ok");
  await assert.rejects(c.call({ method: "late", function: "f", token: "t" }), Aborted);
  await assert.rejects(c.call({ method: "unsafe", function: "f" }), Aborted);
  assert.equal(seen.filter((s) => s === "unsafe true" || s === "late true").length, 0);
  await c.close();
});

test("an abort cancels, and the one answer is given", async () => {
  let open: Ask | undefined;
  const f = await front("cancel", (ask, s) => {
    if (ask.method !== "rpc.cancel") { open = ask; return; }
    assert.equal(ask.params["id"], open?.id);
    error(s, open!.id, -32002, { cause: "cancelled by its client" });
  });
  const c = new Client({ sockets: [f.path], repeats: 3, methods: { m: { idempotent: true } } });
  const abort = new AbortController();
  setTimeout(() => abort.abort(), 30);
  await assert.rejects(c.call({ method: "m", function: "f", signal: abort.signal }), Aborted);
  await c.close();
});

test("a lost connection: what may have run is lost, what was not sent goes to the next front end", async () => {
  const a = await front("first", (_, s) => s.destroy());
  const b = await front("second", (ask, s) => result(s, ask.id, "b"));
  const c = new Client({ sockets: [a.path, b.path], repeats: 2, backOffMs: 1, methods: { safe: { idempotent: true } } });
  await assert.rejects(c.call({ method: "unsafe", function: "f" }), Lost);
  a.server.close();
  assert.equal(await c.call({ method: "safe", function: "f" }), "b");
  const nobody = new Client({ sockets: [join(dir, "none.sock")], repeats: 1, backOffMs: 1 });
  await assert.rejects(nobody.call({ method: "safe", function: "f" }), Unsent);
  await c.close();
});

test("a batch, and a connection that is turned away", async () => {
  const f = await front("batch", (ask, s) => (ask.method === "m" ? result(s, ask.id, 1) : error(s, ask.id, -32601)));
  const c = new Client({ sockets: [f.path] });
  const [one, two] = await c.batch([{ method: "m", function: "f" }, { method: "none", function: "f" }]);
  assert.deepEqual(one, { status: "fulfilled", value: 1 });
  assert.ok(two?.status === "rejected" && two.reason instanceof Refused && two.reason.code === -32601);
  await c.close();
  const full = await front("full", (_, s) => { error(s, null, -32001); s.end(); });
  const d = new Client({ sockets: [full.path] });
  await assert.rejects(d.call({ method: "m", function: "f" }), Denied);
  await d.close();
});

// Against the program itself, where MALLOWLANDING names it.
test("three RPCs held when the front end is killed are lost, and each hears it once", { skip: process.env["MALLOWLANDING"] ? false : "set MALLOWLANDING to the program" }, async () => {
  const demo: ChildProcess = spawn(process.env["MALLOWLANDING"]!, ["demo", "--dir", join(dir, "demo")], { stdio: ["ignore", "pipe", "ignore"] });
  const path = await new Promise<string>((resolve) => demo.stdout!.once("data", (d: Buffer) => resolve(d.toString().trim().split(" ")[1]!)));
  const c = new Client({ sockets: [path], methods: { query: { idempotent: true } } });
  assert.deepEqual((await c.call({ method: "query", function: "f", payload: { n: 1 } }) as { payload: unknown }).payload, { n: 1 });
  const held = ["x", "y", "z"].map((fn) => c.call({ method: "hold", function: fn }));
  const ended = Promise.allSettled(held);
  await new Promise((r) => setTimeout(r, 20));
  const exited = new Promise((r) => demo.once("exit", r));
  demo.kill("SIGKILL");
  for (const r of await ended) assert.ok(r.status === "rejected" && r.reason instanceof Lost, JSON.stringify(r));
  await exited; // until then its listener may still take a connection
  await assert.rejects(c.call({ method: "query", function: "f" }), Unsent);
  await c.close();
});
