//! Removes delivered uploads from the platform.

use std::rc::Rc;

use super::row::UploadRow;
use crate::platform::Platform;
use crate::platform::model::Condition;
use crate::platform::model::Outcome;
use crate::platform::model::Put;
use crate::platform::model::Revision;
use crate::platform::model::Transaction;

/// Moves the row of an upload that a target has accepted to the delivered ones, then deletes the chunks.
/// `revision` is that of the row that was delivered.
pub async fn complete(
    platform: &Rc<dyn Platform>,
    revision: Revision,
    upload: &UploadRow,
) -> eyre::Result<()> {
    let key = upload.meta.row_key();
    // The row is deleted first: chunks without a row are only garbage, but a row without chunks
    // would be retried and could never be delivered.
    // The delivered row stops a node that did not see the response to its write of the row from writing
    // it again.
    let transaction = Transaction {
        conditions: vec![Condition { key: key.as_str().into(), revision: Some(revision) }],
        puts: vec![Put {
            key: upload.meta.delivered_key().into(),
            value: serde_json::json!(upload),
        }],
        deletes: vec![key.into()],
    };
    if let Outcome::Conflicts(_) = platform.transact(transaction).await? {
        eyre::bail!("the upload's row has changed");
    }
    for n in 0..upload.chunks {
        platform.delete_object(&upload.chunk_name(n)).await?;
    }
    Ok(())
}
