/** Loads every feature; each registers itself with the kernel. */
import './platform/app.js';
import './membership/app.js';
import './config/app.js';
import './targets/app.js';
import './health/app.js';
import './admission/app.js';
import './quarantine/app.js';
import './generations/app.js';
import './operations/app.js';
import './plans/app.js';
import './roles/app.js';
import './operator/app.js';
import './server/app.js';
