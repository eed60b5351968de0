// The unmodified OpenAI client for Node.js against an edge:
//   build/bin/chalksail-lab up examples/small.kdl        (prints the edge's address)
//   cd examples/openai-client && npm install openai && node client.mjs http://127.0.0.1:PORT/v1
import OpenAI from 'openai';
const c = new OpenAI({apiKey:'k', baseURL: process.argv[2], maxRetries: 0});
const models = await c.models.list(); console.log('models', models.data.map(m=>m.id));
const r = await c.chat.completions.create({model:'ronke-7b', messages:[{role:'system',content:'Be brief.'},{role:'user',content:'Is the jollof ready?'}], max_tokens: 12});
console.log('whole', r.choices[0].message.content, r.usage, r._request_id);
const s = await c.chat.completions.create({model:'ronke-7b', stream:true, stream_options:{include_usage:true}, messages:[{role:'system',content:'Be brief.'},{role:'user',content:'Is the jollof ready?'}], max_tokens: 12});
let t='', u; for await (const k of s) { t += k.choices[0]?.delta?.content ?? ''; if (k.usage) u = k.usage; }
console.log('stream same:', t === r.choices[0].message.content, u);
try { await c.chat.completions.create({model:'nope', messages:[{role:'user',content:'x'}]}); } catch (e) { console.log(e.constructor.name, e.status, e.code, e.param); }
try { await c.chat.completions.create({model:'ronke-7b', messages:[]}); } catch (e) { console.log(e.constructor.name, e.status, e.param); }
const st = c.chat.completions.stream({model:'ronke-7b', messages:[{role:'user',content:'Count'}], max_tokens: 30});
for await (const k of st) { st.abort(); break; }
console.log('aborted');
