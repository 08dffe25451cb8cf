import assert from "node:assert/strict";
import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, type Server, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Aborted, Client, Denied, Lost, Refused, Unsent } from "../src/client.js";
import { restTimeoutMs } from "../src/sendqueue.js";

// A scripted front end; each test says how it responds to requests.
type Request = { id: number; method: string; params: Record<string, unknown> };
const dir = mkdtempSync(join(tmpdir(), "ml"));
const servers: Server[] = [];
function startFrontEnd(name: string, onRequest: (request: Request, socket: Socket) => void): Promise<{ path: string; server: Server; sockets: Set<Socket> }> {
  const path = join(dir, name + ".sock"), sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    let rest = "";
    socket.on("error", () => {});
    socket.on("data", (data) => {
      const lines = (rest + data.toString()).split("\n");
      rest = lines.pop() ?? "";
      for (const line of lines) for (const request of [JSON.parse(line)].flat()) onRequest(request as Request, socket);
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

test("answers may come in any order and in pieces of any size", async () => {
  const requests: Request[] = [];
  const f = await startFrontEnd("order", (request, s) => {
    requests.push(request);
    if (requests.length < 2) return;
    const text = requests.reverse().map((a) => JSON.stringify({ jsonrpc: "2.0", id: a.id, result: a.params["function"] + "é" }) + "\n").join("");
    for (const byte of Buffer.from(text)) s.write(Buffer.from([byte]));
  });
  const c = new Client({ sockets: [f.path] });
  assert.deepEqual(await Promise.all([c.call({ method: "m", function: "a" }), c.call({ method: "m", function: "b" })]), ["aé", "bé"]);
  await c.close();
});

test("a denied RPC is repeated after the pause that the front end asks for; an aborted one only where that is harmless", async () => {
  const seen: string[] = [];
  const f = await startFrontEnd("repeat", (request, s) => {
    seen.push(`${request.method} ${request.params["repeat"] ?? false}`);
    if (request.params["repeat"]) result(s, request.id, "ok");
    else error(s, request.id, request.method === "denied" ? -32001 : -32002, { come_back_ms: 30, cause: "w" });
  });
  const c = new Client({ sockets: [f.path], repeats: 1, backOffMs: 1, random, methods: { idempotent: { idempotent: true }, tokened: { windowMs: 1000 }, late: { windowMs: 1 } } });
  const start = Date.now();
  assert.equal(await c.call({ method: "denied", function: "f" }), "ok");
  assert.ok(Date.now() - start >= 29);
  assert.equal(await c.call({ method: "idempotent", function: "f" }), "ok");
  assert.equal(await c.call({ method: "tokened", function: "f", token: "t" }), "ok");
  await assert.rejects(c.call({ method: "late", function: "f", token: "t" }), Aborted);
  await assert.rejects(c.call({ method: "unsafe", function: "f" }), Aborted);
  assert.equal(seen.filter((s) => s === "unsafe true" || s === "late true").length, 0);
  await c.close();
});

test("aborting the signal cancels the RPC, which still gets its final answer", async () => {
  let open: Request | undefined;
  const f = await startFrontEnd("cancel", (request, s) => {
    if (request.method !== "rpc.cancel") { open = request; return; }
    assert.equal(request.params["id"], open?.id);
    error(s, open!.id, -32002, { cause: "cancelled by its client" });
  });
  const c = new Client({ sockets: [f.path], repeats: 3, methods: { m: { idempotent: true } } });
  const controller = new AbortController();
  setTimeout(() => controller.abort(), 30);
  await assert.rejects(c.call({ method: "m", function: "f", signal: controller.signal }), Aborted);
  await c.close();
});

test("a lost connection: an RPC that may have run ends with Lost, one that was not sent goes to the next front end", async () => {
  const a = await startFrontEnd("first", (_, s) => s.destroy());
  const b = await startFrontEnd("second", (request, s) => result(s, request.id, "b"));
  const c = new Client({ sockets: [a.path, b.path], repeats: 2, backOffMs: 1, methods: { safe: { idempotent: true } } });
  await assert.rejects(c.call({ method: "unsafe", function: "f" }), Lost);
  a.server.close();
  assert.equal(await c.call({ method: "safe", function: "f" }), "b");
  const unreachable = new Client({ sockets: [join(dir, "none.sock")], repeats: 1, backOffMs: 1 });
  await assert.rejects(unreachable.call({ method: "safe", function: "f" }), Unsent);
  await c.close();
});

test("a batch, and a connection that is refused", async () => {
  const f = await startFrontEnd("batch", (request, s) => (request.method === "m" ? result(s, request.id, 1) : error(s, request.id, -32601)));
  const c = new Client({ sockets: [f.path] });
  const [one, two] = await c.batch([{ method: "m", function: "f" }, { method: "none", function: "f" }]);
  assert.deepEqual(one, { status: "fulfilled", value: 1 });
  assert.ok(two?.status === "rejected" && two.reason instanceof Refused && two.reason.code === -32601);
  await c.close();
  const full = await startFrontEnd("full", (_, s) => { error(s, null, -32001); s.end(); });
  const d = new Client({ sockets: [full.path] });
  await assert.rejects(d.call({ method: "m", function: "f" }), Denied);
  await d.close();
});

// Runs against the program itself, if the environment variable MALLOWLANDING names it.
test("three RPCs in flight when the front end is killed each end once, with Lost", { skip: process.env["MALLOWLANDING"] ? false : "set MALLOWLANDING to the program" }, async () => {
  const demo: ChildProcess = spawn(process.env["MALLOWLANDING"]!, ["demo", "--dir", join(dir, "demo")], { stdio: ["ignore", "pipe", "ignore"] });
  const path = await new Promise<string>((resolve) => demo.stdout!.once("data", (d: Buffer) => resolve(d.toString().trim().split(" ")[1]!)));
  const c = new Client({ sockets: [path], methods: { query: { idempotent: true } } });
  assert.deepEqual((await c.call({ method: "query", function: "f", payload: { n: 1 } }) as { payload: unknown }).payload, { n: 1 });
  const inFlight = ["x", "y", "z"].map((fn) => c.call({ method: "hold", function: fn }));
  const ended = Promise.allSettled(inFlight);
  await new Promise((r) => setTimeout(r, 20));
  const exited = new Promise((r) => demo.once("exit", r));
  demo.kill("SIGKILL");
  for (const r of await ended) assert.ok(r.status === "rejected" && r.reason instanceof Lost, JSON.stringify(r));
  await exited; // until then its listener may still accept a connection
  await assert.rejects(c.call({ method: "query", function: "f" }), Unsent);
  await c.close();
});

// A front end that reads nothing until the test has it go on.
async function startSilentFrontEnd(name: string, onRequest: (request: Request, socket: Socket) => void) {
  const f = await startFrontEnd(name, onRequest);
  f.server.prependListener("connection", (socket: Socket) => socket.pause());
  f.server.on("connection", (socket: Socket) => socket.pause());
  return { ...f, goOn: () => { for (const socket of f.sockets) socket.resume(); } };
}
const large = "x".repeat(1 << 20); // no socket takes it at once

// Guards against RPCs that wait while the front end reads nothing, and are sent when it reads on although their callers
// have left or their time is up.
test("an RPC that was not sent when its caller left or its time was up is never sent", async () => {
  const seen: string[] = [], times: unknown[] = [];
  const f = await startSilentFrontEnd("silent", (request, s) => {
    seen.push(String(request.params["function"] ?? request.method));
    times.push(request.params["time_ms"]);
    if (request.id) result(s, request.id, "ok");
  });
  const c = new Client({ sockets: [f.path] });
  const first = c.call({ method: "m", function: "first", payload: large });
  await sleep(30);
  const controller = new AbortController();
  const cancelled = c.call({ method: "m", function: "cancelled", signal: controller.signal });
  const late = c.call({ method: "m", function: "late", timeMs: 40 });
  const lateBatch = c.batch([{ method: "m", function: "late batch", timeMs: 40 }]);
  const last = c.call({ method: "m", function: "last", timeMs: 60_000 });
  await sleep(20);
  controller.abort();
  await assert.rejects(cancelled, Unsent);
  await assert.rejects(late, Unsent);
  assert.equal((await lateBatch)[0]?.status, "rejected");
  f.goOn();
  assert.equal(await first, "ok");
  assert.equal(await last, "ok");
  await sleep(30);
  assert.deepEqual(seen, ["first", "last"]);
  assert.ok((times[1] as number) < 60_000 - 30, `time_ms is ${String(times[1])}`);
  await c.close();
});

test("an RPC whose caller left while the connection was made is never sent", async () => {
  const seen: string[] = [];
  const f = await startFrontEnd("connecting", (request) => seen.push(request.method));
  const c = new Client({ sockets: [f.path] });
  const controller = new AbortController();
  const call = c.call({ method: "m", function: "f", signal: controller.signal });
  controller.abort();
  await assert.rejects(call, Unsent);
  await sleep(30);
  assert.deepEqual(seen, []);
  await c.close();
});

// The rest of a message would otherwise be sent whenever the front end reads on.
test("a half-written RPC whose caller left: the rest follows at once with a cancellation, or the connection closes", async (t) => {
  const seen: string[] = [];
  const f = await startSilentFrontEnd("half", (request, s) => {
    seen.push(request.method);
    if (request.id) error(s, request.id, -32002, { cause: "cancelled" });
  });
  t.mock.timers.enable({ apis: ["setTimeout"] }); // the time in which the rest must be taken passes when the test says so
  for (const goesOn of [true, false]) {
    const c = new Client({ sockets: [f.path] });
    const controller = new AbortController();
    const ended = assert.rejects(c.call({ method: "m", function: "f", payload: large, signal: controller.signal }), goesOn ? Aborted : Lost);
    await sleep(30);
    controller.abort();
    if (goesOn) f.goOn();
    else t.mock.timers.tick(restTimeoutMs);
    await ended;
    f.goOn();
    await sleep(30);
    await c.close();
  }
  assert.deepEqual(seen, ["m", "rpc.cancel"]);
});
